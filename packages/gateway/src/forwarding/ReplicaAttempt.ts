import * as common from '@jayhaven/common';
import * as http from 'node:http';
import type * as net from 'node:net';
import type { CallerRequest, ResponseHead, RequestCodec, StartQuery } from '../contracts/RequestCodec.js';
import type { Replica } from '../Types.js';
import { isFramed } from './responseHeaders.js';
import { StartCheck } from './StartCheck.js';

/** Connect timeout, milliseconds. A connect normally takes a few milliseconds. */
const connectTimeoutMs = 300;

/** Maximum number of interim responses (1xx) before the final one; a faulty replica may send them endlessly. */
const maximumInterimResponses = 8;

/** The request of one attempt. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly callerRequest: CallerRequest;
  readonly replica: Replica;
  readonly agent: http.Agent | false;
  /** Called when the request is about to be written to a connection, new or kept. */
  readonly onWrite: (socket: net.Socket, isKept: boolean) => void;
  /** The request that asks the replica for its start first; undefined if its record need not be checked. */
  readonly startQuery?: StartQuery | undefined;
  /** Called if the replica has started anew since its record. */
  readonly onOtherStart?: () => void;
  /** False once the replica takes no more requests, for instance because it has left while it was connected to. */
  readonly isReplicaUsable: () => boolean;
}

/** Reason why an attempt has no usable response. */
export interface AttemptFailure {
  readonly kind: 'notConnected' | 'replicaLeft' | 'broken' | 'invalidAnswer';
  /** False only if no byte of the request was written. */
  readonly mayHaveRun: boolean;
  readonly message: string;
}

/** Receives the events of an attempt. There are none after `cancel`. */
export interface AttemptListener {
  onHead(head: ResponseHead, response: http.IncomingMessage): void;
  onFailure(failure: AttemptFailure): void;
  /** The connection failed after the head; the body is incomplete even if its framing indicates otherwise. */
  onConnectionLost(message: string): void;
}

/** Sends a request to one replica and checks that the response belongs to the request. */
export class ReplicaAttempt {
  private _outgoing: http.ClientRequest | undefined;
  private readonly _startCheck: StartCheck | undefined;
  /** Connection on which the replica has stated its start. */
  private _checkedSocket: net.Socket | undefined;
  private _connected = false;
  private _ended = false;
  private _headReceived = false;
  private _connectTimer: NodeJS.Timeout | undefined;
  private _wasReset = false;
  private _interimResponses = 0;

  public constructor(
    private readonly _request: AttemptRequest,
    private readonly _codec: RequestCodec,
    private readonly _listener: AttemptListener,
  ) {
    if (_request.startQuery === undefined) {
      this._open(_request.agent);
    } else {
      this._startCheck = this._checkStart(_request.startQuery);
    }
  }

  public get replica(): Replica {
    return this._request.replica;
  }

  /** True if the response is complete; valid only after its body has ended. */
  public isComplete(response: http.IncomingMessage): boolean {
    return response.complete && (isFramed(response) || !this._wasReset);
  }

  /** Closes the connection, which makes the replica cancel the request. */
  public cancel(): void {
    this._ended = true;
    this._headReceived = false;
    clearTimeout(this._connectTimer);
    this._outgoing?.destroy();
    this._startCheck?.cancel();
  }

  private _checkStart(query: StartQuery): StartCheck {
    const check = new StartCheck(this._request.replica, query, this._codec, {
      onSameStart: (socket) => {
        this._checkedSocket = socket;
        this._open(check.agent).once('close', () => {
          check.cancel();
        });
      },
      onOtherStart: () => {
        this._request.onOtherStart?.();
        this._fail('replicaLeft', 'the replica has started anew');
        check.cancel();
      },
      onFailure: (message) => {
        this._fail('notConnected', message);
        check.cancel();
      },
    });
    return check;
  }

  private _open(agent: http.Agent | false): http.ClientRequest {
    const { host, port } = this._request.replica.address;
    const { method, path, headers } = this._request;
    const outgoing = http.request({ host, port, method, path, headers, agent, setHost: false });
    this._outgoing = outgoing;
    this._sendOnceConnected(outgoing);
    outgoing.on('response', (response) => {
      this._receiveHead(outgoing, response);
    });
    outgoing.on('information', () => {
      this._interimResponses += 1;
      if (this._interimResponses > maximumInterimResponses) {
        outgoing.destroy(new Error('interim answers without end'));
      }
    });
    // Without this listener Node.js closes the connection of a switch of protocols without any other event.
    outgoing.on('upgrade', (response, socket) => {
      this._fail('invalidAnswer', `invalid status ${response.statusCode ?? 0}`);
      socket.destroy();
    });
    outgoing.on('error', (error) => {
      if (this._headReceived) {
        this._listener.onConnectionLost(error.message);
      } else {
        this._fail(this._connected ? 'broken' : 'notConnected', error.message);
      }
    });
    return outgoing;
  }

  private _sendOnceConnected(outgoing: http.ClientRequest): void {
    outgoing.on('socket', (socket) => {
      this._detectReset(outgoing, socket);
      if (!socket.connecting) {
        this._send(outgoing, socket);
        return;
      }
      this._connectTimer = setTimeout(() => {
        this._fail('notConnected', `no connection within ${connectTimeoutMs} ms`);
        outgoing.destroy();
      }, connectTimeoutMs);
      socket.once('connect', () => {
        clearTimeout(this._connectTimer);
        this._send(outgoing, socket);
      });
    });
  }

  /**
   * Detects a reset that Node.js reports as a regular end. When the last bytes and the reset arrive together, only the
   * missing remote address of the socket shows the reset. This matters for responses that end with their connection.
   */
  private _detectReset(outgoing: http.ClientRequest, socket: net.Socket): void {
    const onEnd = (): void => {
      this._wasReset = socket.remoteAddress === undefined;
    };
    socket.prependListener('end', onEnd);
    outgoing.once('close', () => socket.off('end', onEnd));
  }

  /** Writes only after the connection is established, so that a failed connect proves that the request did not run. */
  private _send(outgoing: http.ClientRequest, socket: net.Socket): void {
    if (this._ended) {
      return;
    }
    if (!this._request.isReplicaUsable()) {
      this._fail('replicaLeft', 'the replica has left');
      outgoing.destroy();
      return;
    }
    if (this._checkedSocket !== undefined && socket !== this._checkedSocket) {
      this._fail('notConnected', 'the replica has closed the connection on which it stated its start');
      outgoing.destroy();
      return;
    }
    this._connected = true;
    this._request.onWrite(socket, outgoing.reusedSocket);
    outgoing.end(this._request.body);
  }

  private _receiveHead(outgoing: http.ClientRequest, response: http.IncomingMessage): void {
    const head = this._codec.readResponseHead(response);
    const fault = this._answerFault(head, response);
    if (fault !== undefined) {
      this._fail('invalidAnswer', fault);
      outgoing.destroy();
    } else if (!this._ended) {
      this._ended = true;
      this._headReceived = true;
      this._listener.onHead(head, response);
    }
  }

  /** Returns why a response cannot be used; undefined if it can. */
  private _answerFault(head: ResponseHead, response: http.IncomingMessage): string | undefined {
    if (head.attemptId !== this._request.callerRequest.attemptId) {
      return `answer belongs to attempt ${head.attemptId ?? 'none'}`;
    }
    if (head.contentEncoded) {
      return 'answer has a content encoding';
    }
    const isSuccess = head.status >= 200 && head.status < 300;
    if (isSuccess && !head.isSigned) {
      return 'success without the signature of the replica';
    }
    if (isSuccess && head.notExecuted) {
      return 'success that states that it was not executed';
    }
    return common.responseHeadFault(response);
  }

  private _fail(kind: AttemptFailure['kind'], message: string): void {
    clearTimeout(this._connectTimer);
    if (!this._ended) {
      this._ended = true;
      this._listener.onFailure({ kind, mayHaveRun: this._connected, message });
    }
  }
}
