import * as common from '@jayhaven/common';
import * as http from 'node:http';
import type * as net from 'node:net';
import type { CallerRequest, ResponseHead, RequestCodec } from '../contracts/RequestCodec.js';
import type { Replica } from '../Types.js';
import { isFramed } from './responseHeaders.js';
import type { UsedConnections } from './UsedConnections.js';

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
  /** Connections that the request was sent on; that of this attempt is added. */
  readonly connections: UsedConnections;
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
  private readonly _outgoing: http.ClientRequest;
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
    const { host, port } = _request.replica.address;
    const { method, path, headers, agent } = _request;
    this._outgoing = http.request({ host, port, method, path, headers, agent, setHost: false });
    this._sendOnceConnected();
    this._outgoing.on('response', (response) => {
      this._receiveHead(response);
    });
    this._outgoing.on('information', () => {
      this._interimResponses += 1;
      if (this._interimResponses > maximumInterimResponses) {
        this._outgoing.destroy(new Error('interim answers without end'));
      }
    });
    // Without this listener Node.js closes the connection of a switch of protocols without any other event.
    this._outgoing.on('upgrade', (response, socket) => {
      this._fail('invalidAnswer', `invalid status ${response.statusCode ?? 0}`);
      socket.destroy();
    });
    this._outgoing.on('error', (error) => {
      if (this._headReceived) {
        this._listener.onConnectionLost(error.message);
      } else {
        this._fail(this._connected ? 'broken' : 'notConnected', error.message);
      }
    });
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
    this._outgoing.destroy();
  }

  private _sendOnceConnected(): void {
    this._outgoing.on('socket', (socket) => {
      this._detectReset(socket);
      if (!socket.connecting) {
        this._send(socket);
        return;
      }
      this._connectTimer = setTimeout(() => {
        this._fail('notConnected', `no connection within ${connectTimeoutMs} ms`);
        this._outgoing.destroy();
      }, connectTimeoutMs);
      socket.once('connect', () => {
        clearTimeout(this._connectTimer);
        this._send(socket);
      });
    });
  }

  /**
   * Detects a reset that Node.js reports as a regular end. When the last bytes and the reset arrive together, only the
   * missing remote address of the socket shows the reset. This matters for responses that end with their connection.
   */
  private _detectReset(socket: net.Socket): void {
    const onEnd = (): void => {
      this._wasReset = socket.remoteAddress === undefined;
    };
    socket.prependListener('end', onEnd);
    this._outgoing.once('close', () => socket.off('end', onEnd));
  }

  /** Writes only after the connection is established, so that a failed connect proves that the request did not run. */
  private _send(socket: net.Socket): void {
    if (this._ended) {
      return;
    }
    if (!this._request.isReplicaUsable()) {
      this._fail('replicaLeft', 'the replica has left');
      this._outgoing.destroy();
      return;
    }
    this._connected = true;
    this._request.connections.add(socket);
    this._outgoing.end(this._request.body);
  }

  private _receiveHead(response: http.IncomingMessage): void {
    const head = this._codec.readResponseHead(response);
    const fault = this._answerFault(head, response);
    if (fault !== undefined) {
      this._fail('invalidAnswer', fault);
      this._outgoing.destroy();
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
