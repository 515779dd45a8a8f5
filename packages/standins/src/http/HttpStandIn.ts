import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import type { ListenOptions } from '../Types.js';

/** Largest request body of a stand-in, bytes. */
const maximumBodyBytes = 32 * 1024 * 1024;

/** One HTTP call to a stand-in. */
export interface Call {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  /** Parsed JSON body; `undefined` if it is empty or not JSON. */
  readonly body: unknown;
  readonly text: string;
}

/** A stand-in that serves HTTP calls. Disposal closes its connections, as the end of a process would. */
export abstract class HttpStandIn implements AsyncDisposable {
  private _listener: common.HttpListener | undefined;

  /** The bound port. */
  public get port(): number {
    if (!this._listener) {
      throw new Error('invariant broken: stand-in is not open');
    }
    return this._listener.port;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    const closed = this._listener?.[Symbol.asyncDispose]();
    this._listener?.closeAllConnections();
    await closed;
  }

  protected async listen(options: ListenOptions): Promise<void> {
    const address = { host: options.host ?? '127.0.0.1', port: options.port ?? 0 };
    this._listener = await common.HttpListener.open(address, (request, response) => {
      this._receive(request, response);
    });
  }

  /** Handles a call. May leave it without a response. */
  protected abstract handle(call: Call): void | Promise<void>;

  /** Stops timers before the listener closes. */
  protected abstract stop(): void;

  private _receive(request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    response.on('error', () => {
      request.destroy();
    });
    common
      .readBody(request, maximumBodyBytes)
      .then((text) =>
        this.handle({
          method: request.method ?? 'GET',
          path: url.pathname,
          query: url.searchParams,
          request,
          response,
          body: parseJson(text),
          text,
        }),
      )
      .catch((error: unknown) => {
        if (response.headersSent || response.destroyed) {
          response.destroy();
        } else {
          common.sendJson(response, 500, { error: { type: 'stand_in_error', message: String(error) } });
        }
      });
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

/** Closes the connection of a call without a response. */
export function breakConnection(call: Call): void {
  call.request.socket.destroy();
}

/** Responds with 404 to an unknown path. */
export function sendNotFound(call: Call): void {
  common.sendJson(call.response, 404, {
    error: { type: 'not_found', message: `no route ${call.method} ${call.path}` },
  });
}
