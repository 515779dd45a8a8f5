import * as http from 'node:http';
import type * as net from 'node:net';

/** Limits of a listener. */
export interface ListenerLimits {
  /** Maximum total size of the headers, bytes. */
  readonly maximumHeaderBytes: number;
  /** Time limit for a client to send its headers, milliseconds. */
  readonly headersTimeoutMs: number;
  /** Time limit for a client to send the whole request, milliseconds. */
  readonly requestTimeoutMs: number;
  /** Limits for clients that nobody controls; unlimited if absent. */
  readonly clients?: ClientLimits;
}

/** Limits of the connections of a listener. */
export interface ClientLimits {
  /** If there are more connections, the oldest one is closed, since requests are short. */
  readonly maximumConnections: number;
  /** Requests in progress on one connection; it is closed if there are more. */
  readonly maximumRequestsPerConnection: number;
  /** Called when a connection is closed because of a limit. */
  readonly onEnforced: () => void;
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
        // Accepting fails while there are no descriptors left; later connections are accepted again.
        server.on('error', () => {
          limits.clients?.onEnforced();
        });
        resolve();
      });
    });
    if (limits.clients !== undefined) {
      limitClients(server, limits.clients);
    }
    return new HttpListener(server);
  }

  /** The bound port. */
  public get port(): number {
    return (this._server.address() as net.AddressInfo).port;
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

function limitClients(server: http.Server, limits: ClientLimits): void {
  const requestCounts = new Map<net.Socket, number>();
  const close = (socket: net.Socket): void => {
    requestCounts.delete(socket);
    limits.onEnforced();
    socket.destroy();
  };
  server.on('connection', (socket: net.Socket) => {
    const [oldest] = requestCounts.keys();
    if (oldest !== undefined && requestCounts.size >= limits.maximumConnections) {
      close(oldest);
    }
    requestCounts.set(socket, 0);
    socket.once('close', () => requestCounts.delete(socket));
  });
  server.prependListener('request', ({ socket }, response) => {
    const count = (requestCounts.get(socket) ?? 0) + 1;
    if (!requestCounts.has(socket)) {
      return;
    }
    if (count > limits.maximumRequestsPerConnection) {
      close(socket);
      return;
    }
    requestCounts.set(socket, count);
    response.once('close', () => {
      if (requestCounts.has(socket)) {
        requestCounts.set(socket, (requestCounts.get(socket) ?? 1) - 1);
      }
    });
  });
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
