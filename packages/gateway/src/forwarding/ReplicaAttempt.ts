import * as http from 'node:http';
import type * as net from 'node:net';
import type { CallerRequest, ResponseHead, RequestCodec } from '../contracts/RequestCodec.js';
import type { Replica } from '../Types.js';

/** Longest time to connect to a replica, milliseconds. A connection takes a few. */
const connectTimeoutMs = 300;

/** Interim answers (1xx) before the final one. A replica in trouble may send them without end. */
const maximumInterimResponses = 8;

/** One send of a request to a replica. */
export interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly callerRequest: CallerRequest;
  readonly replica: Replica;
  readonly agent: http.Agent | false;
}

/** Why a send has no usable answer. */
export interface AttemptFailure {
  readonly kind: 'notConnected' | 'broken' | 'foreignAnswer';
  /** False only if no byte of the request was written. */
  readonly mayHaveRun: boolean;
  readonly message: string;
}

/** Receives what becomes of a send. Nothing is told after `cancel`. */
export interface AttemptListener {
  onHead(head: ResponseHead, response: http.IncomingMessage): void;
  onFailure(failure: AttemptFailure): void;
  /** The connection failed after the head; the body is not complete, whatever its framing says. */
  onConnectionLost(message: string): void;
}

/** Sends a request to one replica and checks that the answer belongs to it. */
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

  /** True if an answer has arrived whole; asked when its body has ended. */
  public isComplete(response: http.IncomingMessage): boolean {
    const hasFraming =
      response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined;
    return response.complete && (hasFraming || !this._wasReset);
  }

  /** Closes the connection, which makes the replica drop the request. */
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
        this._send();
        return;
      }
      this._connectTimer = setTimeout(() => {
        this._fail('notConnected', `no connection within ${connectTimeoutMs} ms`);
        this._outgoing.destroy();
      }, connectTimeoutMs);
      socket.once('connect', () => {
        clearTimeout(this._connectTimer);
        this._send();
      });
    });
  }

  /**
   * Notices a reset that Node.js reports as a regular end: when the last bytes and the reset arrive together, only the
   * missing address of the peer tells them apart. It matters for answers that end with their connection.
   */
  private _detectReset(socket: net.Socket): void {
    const onEnd = (): void => {
      this._wasReset = socket.remoteAddress === undefined;
    };
    socket.prependListener('end', onEnd);
    this._outgoing.once('close', () => socket.off('end', onEnd));
  }

  /** Nothing is written before the connection stands, so that a failure to connect proves that nothing ran. */
  private _send(): void {
    if (!this._ended) {
      this._connected = true;
      this._outgoing.end(this._request.body);
    }
  }

  private _receiveHead(response: http.IncomingMessage): void {
    const head = this._codec.readResponseHead(response);
    if (head.attemptId !== this._request.callerRequest.attemptId || head.contentEncoded) {
      this._fail('foreignAnswer', `answer belongs to attempt ${head.attemptId ?? 'none'}`);
      this._outgoing.destroy();
    } else if (!this._ended) {
      this._ended = true;
      this._headReceived = true;
      this._listener.onHead(head, response);
    }
  }

  private _fail(kind: AttemptFailure['kind'], message: string): void {
    clearTimeout(this._connectTimer);
    if (!this._ended) {
      this._ended = true;
      this._listener.onFailure({ kind, mayHaveRun: this._connected, message });
    }
  }
}
