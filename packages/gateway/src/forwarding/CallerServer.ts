import type * as common from '@jayhaven/common';
import * as http from 'node:http';
import type { Address, CallerLimits } from '../Types.js';
import { Exchange } from './Exchange.js';
import type { ExchangeContext } from './Types.js';

/** Header bytes that are read at most; the operators' limit lies below. */
const parserHeaderBytes = 64 * 1024;
/** Added to the idle time that callers may use, so that a request does not cross the close, milliseconds. */
const idleMarginMs = 2_000;

/** Accepts callers. */
export class CallerServer {
  private readonly _server: http.Server;
  private _maximumHeaderBytes = parserHeaderBytes;
  private _activeCount = 0;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _address: Address,
    private readonly _log: common.Logger,
  ) {
    this._server = http.createServer({ maxHeaderSize: parserHeaderBytes }, (request, response) => {
      this._accept(request, response);
    });
  }

  public async open(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(this._address.port, this._address.host, 1024, resolve);
    });
    this._log.info('Accepts callers.', { host: this._address.host, port: this._address.port });
  }

  /** Requests that have no complete answer yet. */
  public get activeCount(): number {
    return this._activeCount;
  }

  /** Puts the operators' limits in force. */
  public applyLimits(limits: CallerLimits): void {
    this._maximumHeaderBytes = limits.maximumHeaderBytes;
    this._server.headersTimeout = limits.headerTimeoutMs;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
  }

  /** Takes no further connection and closes the idle ones; requests in flight go on. */
  public stopAccepting(): void {
    this._server.close();
    this._server.closeIdleConnections();
  }

  public close(): void {
    this._server.close();
    this._server.closeAllConnections();
  }

  private _accept(request: http.IncomingMessage, response: http.ServerResponse): void {
    this._activeCount += 1;
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
  // Each line has a colon, a space and the line end besides the name or value counted here.
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
