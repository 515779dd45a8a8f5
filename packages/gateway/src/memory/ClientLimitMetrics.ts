import type * as common from '@jayhaven/common';
import * as metrics from 'prom-client';

/** The limits for clients; each value is a label of the metric and a field of the log line. */
export type ClientLimit =
  | 'bodyTooLarge'
  | 'bodyStalled'
  | 'bodyWithoutMemory'
  | 'headTooLarge'
  | 'connectionStalled'
  | 'connections'
  | 'pipelinedRequests'
  | 'requests'
  | 'acceptFailed'
  | 'peerConnections'
  | 'peerMemory'
  | 'peerMessage'
  | 'statusConnections';

/** Time between two log lines of one limit, milliseconds. */
const logIntervalMs = 10_000;

/** Counts how often limits for clients were enforced, and logs them at a bounded rate. */
export class ClientLimitMetrics {
  private readonly _enforced: metrics.Counter<'limit'>;
  private readonly _memory: metrics.Gauge;
  private readonly _lines = new Map<ClientLimit, { loggedMs: number; unlogged: number }>();

  public constructor(
    registry: metrics.Registry,
    private readonly _log: common.Logger,
    private readonly _nowMs: () => number,
  ) {
    const registers = [registry];
    this._enforced = new metrics.Counter({
      name: 'jayhaven_client_limits_total',
      help: 'Requests refused and connections closed because of a limit for clients.',
      labelNames: ['limit'],
      registers,
    });
    this._memory = new metrics.Gauge({
      name: 'jayhaven_client_memory_bytes',
      help: 'Memory that clients hold, as the memory budget counts it.',
      registers,
    });
  }

  public setMemory(bytes: number): void {
    this._memory.set(bytes);
  }

  public count(limit: ClientLimit): void {
    this._enforced.inc({ limit });
    const nowMs = this._nowMs();
    const line = this._lines.get(limit) ?? { loggedMs: Number.NEGATIVE_INFINITY, unlogged: 0 };
    line.unlogged += 1;
    if (nowMs - line.loggedMs >= logIntervalMs) {
      this._log.warn('A limit for clients was enforced.', { limit, times: line.unlogged });
      line.loggedMs = nowMs;
      line.unlogged = 0;
    }
    this._lines.set(limit, line);
  }
}
