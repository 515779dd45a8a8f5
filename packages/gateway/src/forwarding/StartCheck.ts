import * as common from '@jayhaven/common';
import * as http from 'node:http';
import type * as net from 'node:net';
import type { RequestCodec, StartQuery } from '../contracts/RequestCodec.js';
import type { Replica } from '../Types.js';

/** Time within which a replica must state its start, milliseconds. It needs no slot for that. */
const checkTimeoutMs = 700;
/** Largest answer that is read, bytes. */
const maximumAnswerBytes = 1024 * 1024;

/** Receives the result of a check: one call, unless it is cancelled. */
export interface StartCheckListener {
  /** The replica is the one of its record; a request on this connection of the agent reaches the same start. */
  onSameStart(socket: net.Socket): void;
  onOtherStart(): void;
  onFailure(message: string): void;
}

/**
 * Asks a replica for its start, on the connection that a request then uses. A replica may start anew under its identifier
 * with other software, and the record of this daemon may be older than that.
 */
export class StartCheck {
  /** Keeps the connection for the request. */
  public readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  private readonly _query: http.ClientRequest;
  private readonly _timer: NodeJS.Timeout;
  private _isEnded = false;

  public constructor(
    private readonly _replica: Replica,
    { path, headers }: StartQuery,
    private readonly _codec: RequestCodec,
    private readonly _listener: StartCheckListener,
  ) {
    const { host, port } = _replica.address;
    this._timer = setTimeout(() => {
      this._query.destroy(new Error(`the replica did not state its start within ${checkTimeoutMs} ms`));
    }, checkTimeoutMs);
    this._query = http.request({ host, port, path, headers, agent: this.agent, setHost: false });
    this._query.on('response', (response) => {
      this._read(response);
    });
    this._query.on('error', (error) => {
      this._end(() => {
        _listener.onFailure(error.message);
      });
    });
    this._query.end();
  }

  /** Closes the connection, unless a request uses it. */
  public cancel(): void {
    this._end(() => undefined);
    this._query.destroy();
    this.agent.destroy();
  }

  private _read(response: http.IncomingMessage): void {
    const { socket } = response;
    const body = new common.ByteCollector();
    response.on('data', (bytes: Buffer) => {
      body.append(bytes);
      if (body.length > maximumAnswerBytes) {
        response.destroy(new Error('the start of the replica is stated at too great length'));
      }
    });
    response.on('error', (error) => {
      this._end(() => {
        this._listener.onFailure(error.message);
      });
    });
    response.on('end', () => {
      const text = body.take().toString();
      this._end(() => {
        this._judge(response.statusCode ?? 0, text, socket);
      });
    });
  }

  private _judge(status: number, text: string, socket: net.Socket): void {
    const bornMs = this._codec.readStart(status, text);
    if (bornMs === undefined) {
      this._listener.onFailure('the replica does not state its start');
    } else if (bornMs === this._replica.bornMs) {
      this._listener.onSameStart(socket);
    } else {
      this._listener.onOtherStart();
    }
  }

  private _end(call: () => void): void {
    clearTimeout(this._timer);
    if (!this._isEnded) {
      this._isEnded = true;
      call();
    }
  }
}
