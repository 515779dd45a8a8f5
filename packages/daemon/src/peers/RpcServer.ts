import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { JSONRPCServer } from 'json-rpc-2.0';
import type { TrafficCounter } from './TrafficCounter.js';

/** Largest call between daemons, bytes. */
const maximumCallBytes = 4 * 1024 * 1024;

/** Serves JSON-RPC 2.0 at `POST /rpc`. */
export class RpcServer implements AsyncDisposable {
  private readonly _rpc = new JSONRPCServer({ errorListener: () => undefined });
  private _listener: common.HttpListener | undefined;

  public constructor(private readonly _traffic: TrafficCounter) {}

  /** Starts listening. Rejects if the address cannot be bound. */
  public async listen(address: decisions.Address): Promise<void> {
    this._listener = await common.HttpListener.open(address, (request, response) => {
      this._traffic.add(request.socket);
      this._serve(request, response).catch(() => {
        response.destroy();
      });
    });
  }

  /** The bound port. */
  public get port(): number {
    return this._listener?.port ?? 0;
  }

  /** Registers a method; a later registration replaces an earlier one. */
  public addMethod(method: string, handler: (parameters: unknown) => Promise<unknown>): void {
    this._rpc.addMethod(method, handler);
  }

  /** Stops listening and aborts the calls in flight; the callers then call another daemon. */
  public async [Symbol.asyncDispose](): Promise<void> {
    const closed = this._listener?.[Symbol.asyncDispose]();
    this._listener?.closeAllConnections();
    await closed;
  }

  private async _serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    if (request.method !== 'POST' || request.url !== '/rpc') {
      common.sendJson(response, 404, { error: 'only POST /rpc is served' });
      return;
    }
    const text = await common.readBody(request, maximumCallBytes);
    const result = await this._rpc.receiveJSON(text);
    // Omitting the `Date` header saves a tenth of the bytes of a heartbeat.
    response.sendDate = false;
    common.sendJson(response, 200, result ?? {});
  }
}
