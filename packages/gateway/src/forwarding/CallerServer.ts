import * as common from '@jayhaven/common';
import * as http from 'node:http';
import { type CallerConnectionLimits, CallerConnections } from '../memory/CallerConnections.js';
import type { ClientLimitMetrics } from '../memory/ClientLimitMetrics.js';
import type { Address, CallerLimits } from '../Types.js';
import { Exchange } from './Exchange.js';
import { InvalidRequests } from './InvalidRequests.js';
import { sendLocalResponse } from './sendLocalResponse.js';
import type { ExchangeContext } from './Types.js';

/** Header size limit of the HTTP parser, bytes. The operators' limit is lower. */
const parserHeaderBytes = 64 * 1024;
/** Added to the callers' idle timeout, so that no request arrives while its connection is closed, milliseconds. */
const idleMarginMs = 2_000;
/** Interval at which requests that are not received in time are looked for, milliseconds. Each may hold 64 KB until then. */
const connectionCheckMs = 1_000;
/** Retry-After of a request beyond the limit of requests in progress, milliseconds. */
const crowdedRetryAfterMs = 1_000;

/** HTTP server for requests of callers. */
export class CallerServer {
  private readonly _server: http.Server;
  private _maximumHeaderBytes = parserHeaderBytes;
  private readonly _invalidRequests = new InvalidRequests();
  private readonly _connections: CallerConnections;
  private _activeCount = 0;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _address: Address,
    private readonly _log: common.Logger,
    connectionLimits: CallerConnectionLimits,
    private readonly _metrics: ClientLimitMetrics,
    connectionsCheckingInterval = connectionCheckMs,
  ) {
    this._connections = new CallerConnections(
      connectionLimits,
      _context.callerMemory,
      _metrics,
      () => _context.clock.now().steadyMs,
      (socket) => {
        const error = Object.assign(new Error('head is too large'), { code: 'HPE_HEADER_OVERFLOW' });
        this._invalidRequests.refuse(error, socket);
      },
    );
    const limits = {
      maxHeaderSize: parserHeaderBytes,
      connectionsCheckingInterval,
      IncomingMessage: common.PacedRequest,
    };
    this._server = http.createServer(limits, (request, response) => {
      this._accept(request, response);
    });
    this._server.on('connection', (socket) => {
      this._connections.open(socket);
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
    // Accepting fails while the process or the machine has no descriptors left; later connections are accepted again.
    this._server.on('error', () => {
      this._metrics.count('acceptFailed');
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
    this._connections.setMaximumHeaderBytes(limits.maximumHeaderBytes);
    this._server.headersTimeout = limits.headerTimeoutMs;
    this._server.keepAliveTimeout = limits.idleTimeoutMs + idleMarginMs;
  }

  /** Stops accepting connections and closes the idle ones; requests in flight continue. */
  public stopAccepting(): void {
    this._server.close();
    this._server.closeIdleConnections();
  }

  public close(): void {
    this._connections[Symbol.dispose]();
    this._server.close();
    this._server.closeAllConnections();
  }

  private _accept(request: http.IncomingMessage, response: http.ServerResponse): void {
    if (this._invalidRequests.isRefused(request)) {
      // Its connection closes after the requests before it; it is not passed on, as its answer would be lost.
      request.resume();
      return;
    }
    const admission = this._connections.admitRequest(request, response);
    if (admission === 'ignored') {
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
    if (admission === 'refused') {
      sendLocalResponse(request, response, this._context.codec, {
        status: 503,
        reason: 'too many requests are in progress',
        attemptId: this._context.codec.readRequest(request)?.attemptId,
        retryAfterMs: crowdedRetryAfterMs,
        closesConnection: true,
      });
      return;
    }
    new Exchange(this._context, request, response, () => this._closesConnection(response)).begin();
  }

  /** True if the connection closes after a response. Node.js drops the responses that are due after it on the connection. */
  private _closesConnection(response: http.ServerResponse): boolean {
    return this._context.isStopping() && this._invalidRequests.isLast(response);
  }
}

function headerBytes(request: http.IncomingMessage): number {
  // Two bytes for each name and each value account for the colon, the space and the line end of a header line.
  return request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
