import * as common from '@jayhaven/common';
import type { Address } from './Types.js';

/** Addresses on which the status server listens. */
export interface StatusAddresses {
  readonly status: Address;
  readonly metrics: Address;
}

/** The state that the status server publishes. */
export interface StatusSource {
  readonly isReady: boolean;
  metrics(): Promise<string>;
  /** Maximum connections of each port. */
  readonly maximumStatusConnections: number;
  /** Counts a connection that was closed because of a limit. */
  recordStatusLimit(): void;
}

/** Requests of one connection that may be in progress. The metrics are large, and their clients never pipeline. */
const requestsPerConnection = { status: 16, metrics: 1 } as const;

/** Serves the readiness check of the load balancer and the metrics. */
export class StatusServer implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();

  public constructor(
    private readonly _addresses: StatusAddresses,
    private readonly _readyPath: string,
    private readonly _source: StatusSource,
    private readonly _log: common.Logger,
  ) {}

  public async open(): Promise<void> {
    const status = await common.HttpListener.open(
      this._addresses.status,
      (request, response) => {
        const isReadinessCheck = request.method === 'GET' && request.url === this._readyPath;
        const statusCode = isReadinessCheck ? (this._source.isReady ? 200 : 503) : 404;
        response.writeHead(statusCode, { 'content-length': 0 });
        response.end();
      },
      this._limits('status'),
    );
    this._resources.register(status);
    const metrics = await common.HttpListener.open(
      this._addresses.metrics,
      (request, response) => {
        if (request.socket.destroyed) {
          return;
        }
        this._source.metrics().then(
          (text) => {
            response.writeHead(request.url === '/metrics' ? 200 : 404, { 'content-type': 'text/plain; version=0.0.4' });
            response.end(text);
          },
          (error: unknown) => {
            this._log.error('Could not collect the metrics.', { reason: String(error) });
            response.writeHead(500);
            response.end();
          },
        );
      },
      this._limits('metrics'),
    );
    this._resources.register(metrics);
  }

  private _limits(port: keyof StatusAddresses): common.ListenerLimits {
    const clients = {
      maximumConnections: this._source.maximumStatusConnections,
      maximumRequestsPerConnection: requestsPerConnection[port],
      onEnforced: () => {
        this._source.recordStatusLimit();
      },
    };
    return { ...common.defaultListenerLimits, clients };
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }
}
