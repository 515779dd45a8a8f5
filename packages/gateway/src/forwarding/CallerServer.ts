import type * as common from '@jayhaven/common';
import * as http from 'node:http';
import type { Address, CallerLimits } from '../Types.js';
import { Exchange } from './Exchange.js';
import { InvalidRequests } from './InvalidRequests.js';
import type { ExchangeContext } from './Types.js';

/** Header size limit of the HTTP parser, bytes. The operators' limit is lower. */
const parserHeaderBytes = 64 * 1024;
/** Added to the callers' idle timeout, so that no request arrives while its connection is closed, milliseconds. */
const idleMarginMs = 2_000;
/** Interval at which requests that are not received in time are looked for, milliseconds; the default of Node.js. */
const connectionCheckMs = 30_000;

/** HTTP server for requests of callers. */
export class CallerServer {
  private readonly _server: http.Server;
  private _maximumHeaderBytes = parserHeaderBytes;
  private readonly _invalidRequests = new InvalidRequests();
  private _activeCount = 0;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _address: Address,
    private readonly _log: common.Logger,
    connectionsCheckingInterval = connectionCheckMs,
  ) {
    const limits = { maxHeaderSize: parserHeaderBytes, connectionsCheckingInterval };
    this._server = http.createServer(limits, (request, response) => {
      this._accept(request, response);
    });
    this._server.on('clientError', (error, socket) => {
      this._invalidRequests.refuse(error, socket);
    });
  }

  public async open(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(this._address.port, this._address.host, 1024, resolve);
    });
    this._log.info('Listening for callers.', { host: this._address.host, port: this._address.port });
  }

  /** Number of requests whose response is not yet complete. */
  public get activeCount(): number {
    return this._activeCount;
  }

  /** Applies the operators' limits. */
  public applyLimits(limits: CallerLimits): void {
    this._maximumHeaderBytes = limits.maximumHeaderBytes;
    this._server.headersTimeout = limits.headerTimeoutMs;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
  }

  /** Stops accepting connections and closes the idle ones; requests in flight continue. */
  public stopAccepting(): void {
    this._server.close();
    this._server.closeIdleConnections();
  }

  public close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private _accept(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this._invalidRequests.isRefused(request)) {
      // Its connection closes after the requests before it; it is not passed on, as its answer would be lost.
      request.resume();
      return;
    }
    this._activeCount += 1;
    this._invalidRequests.track(request, response);
    response.once('close', () => {
      this._activeCount -= 1;
    });
    if (headerBytes(request) > this._maximumHeaderBytes) {
      response.writeHead(431, { connection: 'close', 'content-length': 0 });
      response.end();
      return;
    }
    new Exchange(this._context, request, response).begin();
  }
}

function headerBytes(request: http.IncomingMessage): number {
  // Two bytes for each name and each value account for the colon, the space and the line end of a header line.
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
