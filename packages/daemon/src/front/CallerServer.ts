import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Duplex } from 'node:stream';
import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { notExecuted } from '../routing/callerErrors.js';
import type { CallerError } from '../routing/Types.js';
import { errorBody } from './errorResponses.js';
import { newRequestId } from './requestHeaders.js';

/** Time limit for receiving the headers, milliseconds. */
const headersTimeoutMs = 10_000;
/** Time limit for receiving a request, milliseconds. Longer than that for the body, whose error is more specific. */
const requestTimeoutMs = 20_000;
/** Keep-alive time of idle connections, milliseconds. Longer than the usual keep-alive time of load balancers. */
const keepAliveTimeoutMs = 75_000;
/** Limits on what is discarded after a refusal. Closing before the caller has sent all resets the connection. */
const discardTimeoutMs = 1_000;
const maximumDiscardedBytes = 4 * 1024 * 1024;
/** Limit of open caller connections. */
const maximumConnections = 10_000;

/** HTTP server for callers. Answers invalid requests with a typed error and continues to serve. */
export class CallerServer implements AsyncDisposable {
  private _closed: Promise<void> | undefined;

  private constructor(
    private readonly _server: http.Server,
    private readonly _openResponses: common.OpenResponses,
  ) {}

  /** Starts listening. Rejects if the address cannot be bound. */
  public static async open(
    address: decisions.Address,
    maximumHeaderBytes: number,
    handler: http.RequestListener,
  ): Promise<CallerServer> {
    const openResponses = new common.OpenResponses();
    const server = http.createServer(
      {
        maxHeaderSize: maximumHeaderBytes,
        headersTimeout: headersTimeoutMs,
        requestTimeout: requestTimeoutMs,
        keepAliveTimeout: keepAliveTimeoutMs,
        connectionsCheckingInterval: 1_000,
      },
      (request, response) => {
        openResponses.track(request, response);
        handler(request, response);
      },
    );
    server.maxConnections = maximumConnections;
    const refuse = (socket: Duplex, refusal: CallerError): void => {
      if (!openResponses.closeAfterAnswers(socket)) {
        refuseOnSocket(socket, refusal);
      }
    };
    server.on('clientError', (error, socket) => {
      refuse(socket, invalidRequest(error));
    });
    server.on('connect', (_request, socket) => {
      refuse(socket, notExecuted(405, 'method_not_allowed', 'CONNECT is not supported'));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(address.port, address.host, () => {
        server.off('error', reject);
        resolve();
      });
    });
    return new CallerServer(server, openResponses);
  }

  /** The bound port. */
  public get port(): number {
    return (this._server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Makes the connection of a request close after the last response in progress on it. */
  public closeConnection({ socket }: http.IncomingMessage): void {
    this._openResponses.closeAfterLast(socket);
  }

  /** Stops accepting connections and closes idle ones. Resolves when the last connection has ended. */
  public stopAccepting(): Promise<void> {
    this._closed ??= new Promise((resolve) => {
      this._server.close(() => {
        resolve();
      });
    });
    this._server.closeIdleConnections();
    return this._closed;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    const closed = this.stopAccepting();
    this._server.closeAllConnections();
    await closed;
  }
}

function invalidRequest(error: NodeJS.ErrnoException): CallerError {
  return error.code === 'HPE_HEADER_OVERFLOW'
    ? notExecuted(431, 'headers_too_large', 'the request headers are too large')
    : error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
      ? notExecuted(408, 'request_timeout', 'the request was not complete in time')
      : notExecuted(400, 'malformed_request', 'the request is not valid HTTP');
}

/** Connections that were refused. Further bytes of an invalid request must not close them before the error is read. */
const refusedSockets = new WeakSet<Duplex>();

/** Sends an error without an `http.ServerResponse`, unless a response has already begun on the connection. */
function refuseOnSocket(socket: Duplex, refusal: CallerError): void {
  if (refusedSockets.has(socket)) {
    return;
  }
  const pending = (socket as { readonly _httpMessage?: http.ServerResponse })._httpMessage;
  if (!socket.writable || pending?.headersSent) {
    socket.destroy();
    return;
  }
  refusedSockets.add(socket);
  discardRemaining(socket);
  const body = JSON.stringify(errorBody(refusal, newRequestId()));
  const reason = http.STATUS_CODES[refusal.status] ?? '';
  socket.end(
    `HTTP/1.1 ${refusal.status} ${reason}\r\nconnection: close\r\ncontent-type: application/json\r\n` +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}

/** Reads and discards: unread bytes when the socket closes would reset the connection and lose the error response. */
function discardRemaining(socket: Duplex): void {
  let discarded = 0;
  const timer = setTimeout(() => {
    socket.destroy();
  }, discardTimeoutMs);
  socket.once('close', () => {
    clearTimeout(timer);
  });
  socket.on('error', () => undefined);
  socket.removeAllListeners('data');
  socket.on('data', (chunk: Buffer) => {
    discarded += chunk.length;
    if (discarded > maximumDiscardedBytes) {
      socket.destroy();
    }
  });
}
