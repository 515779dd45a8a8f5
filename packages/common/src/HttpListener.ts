import * as http from 'node:http';
import type { AddressInfo } from 'node:net';

/** Limits of a listener. */
export interface ListenerLimits {
  /** Maximum total size of the headers, bytes. */
  readonly maximumHeaderBytes: number;
  /** Time limit for a client to send its headers, milliseconds. */
  readonly headersTimeoutMs: number;
  /** Time limit for a client to send the whole request, milliseconds. */
  readonly requestTimeoutMs: number;
}

/** Limits for requests between processes of the system. */
export const defaultListenerLimits: ListenerLimits = {
  maximumHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 60_000,
};

/** An HTTP server bound to one IP address and port. */
export class HttpListener implements AsyncDisposable {
  private constructor(private readonly _server: http.Server) {}

  /** Starts listening; rejects if the address cannot be bound. Port 0 selects a free port. */
  public static async open(
    address: { readonly host: string; readonly port: number },
    handler: http.RequestListener,
    limits: ListenerLimits = defaultListenerLimits,
  ): Promise<HttpListener> {
    const server = http.createServer(
      {
        maxHeaderSize: limits.maximumHeaderBytes,
        headersTimeout: limits.headersTimeoutMs,
        requestTimeout: limits.requestTimeoutMs,
        keepAliveTimeout: 30_000,
      },
      handler,
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, () => {
        server.off('error', reject);
        resolve();
      });
    });
    return new HttpListener(server);
  }

  /** The bound port. */
  public get port(): number {
    return (this._server.address() as AddressInfo).port;
  }

  /** Stops accepting connections, closes idle ones, and waits for the requests in flight. */
  public async [Symbol.asyncDispose](): Promise<void> {
    await new Promise<void>((resolve) => {
      this._server.close(() => {
        resolve();
      });
      this._server.closeIdleConnections();
    });
  }

  /** Closes every connection immediately. */
  public closeAllConnections(): void {
    this._server.closeAllConnections();
  }
}

/** Sends a JSON response with its length. */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const payload = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': payload.length, ...headers });
  response.end(payload);
}
