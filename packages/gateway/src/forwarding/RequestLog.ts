import type * as common from '@jayhaven/common';
import * as metrics from 'prom-client';
import type { ExchangeResult } from './ExchangeResult.js';

/** Maximum lines per second for requests without failure. Failures have a separate limit, so that they stay visible. */
const maximumRoutineLines = 100;
/** Maximum lines per second for failed requests. */
const maximumFailureLines = 200;
const windowMs = 1_000;
/** Bucket bounds of the duration histogram, seconds. */
const durationBuckets = [0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 20];

/** Writes one log line per request, up to a limit per second, and updates the request metrics. */
export class RequestLog {
  public readonly registry = new metrics.Registry();
  private readonly _requests: metrics.Counter<'outcome' | 'status'>;
  private readonly _durations: metrics.Histogram<'outcome'>;
  private readonly _omitted: metrics.Counter;
  private _windowStartMs = 0;
  private _routineLines = 0;
  private _failureLines = 0;
  private _omittedLines = 0;

  public constructor(private readonly _log: common.Logger) {
    const registers = [this.registry];
    this._requests = new metrics.Counter({
      name: 'jayhaven_requests_total',
      help: 'Requests by outcome and status.',
      labelNames: ['outcome', 'status'],
      registers,
    });
    this._durations = new metrics.Histogram({
      name: 'jayhaven_request_seconds',
      help: 'Time from the head of a request to the end of its answer.',
      labelNames: ['outcome'],
      buckets: durationBuckets,
      registers,
    });
    this._omitted = new metrics.Counter({
      name: 'jayhaven_log_lines_omitted_total',
      help: 'Request lines left out of the log because too many came within a second.',
      registers,
    });
  }

  public record(result: ExchangeResult, nowMs: number): void {
    this._requests.inc({ outcome: result.outcome, status: String(result.status ?? 'none') });
    this._durations.observe({ outcome: result.outcome }, result.durationMs / 1000);
    this._startWindow(nowMs);
    const isRoutine = result.outcome === 'delivered' || result.outcome === 'callerLeft';
    const count = isRoutine ? (this._routineLines += 1) : (this._failureLines += 1);
    if (count > (isRoutine ? maximumRoutineLines : maximumFailureLines)) {
      this._omittedLines += 1;
      this._omitted.inc();
      return;
    }
    this._log.info('Request.', {
      ...result,
      sends: isRoutine && result.sends.length < 2 ? undefined : result.sends,
      waitedMs: rounded(result.waitedMs),
      durationMs: rounded(result.durationMs),
      firstPartMs: rounded(result.firstPartMs),
      longestGapMs: rounded(result.longestGapMs),
      readyInMs: rounded(result.readyInMs),
      retryAfterMs: rounded(result.retryAfterMs),
    });
  }

  private _startWindow(nowMs: number): void {
    if (nowMs - this._windowStartMs < windowMs) {
      return;
    }
    if (this._omittedLines > 0) {
      this._log.warn('Request log lines omitted.', { lines: this._omittedLines });
    }
    this._windowStartMs = nowMs;
    this._routineLines = 0;
    this._failureLines = 0;
    this._omittedLines = 0;
  }
}

function rounded(timeMs: number | undefined): number | undefined {
  return timeMs === undefined ? undefined : Math.round(timeMs);
}
