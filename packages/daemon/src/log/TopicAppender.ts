import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { AppendQueue, unavailable, type AppendOutcome, type SequenceCounter } from './AppendQueue.js';
import { Backoff } from './Backoff.js';
import type { LogClient } from './LogClient.js';
import type { LogHealth } from './LogHealth.js';
import type { LogFailure, ReplicaContext } from './Types.js';

/** Retry delay returned to callers when no better estimate is available, milliseconds. */
const defaultRetryAfterMs = 1000;

/** Dependencies and settings of an appender. Times in milliseconds. */
export interface AppenderOptions {
  readonly topic: string;
  readonly client: LogClient;
  readonly health: LogHealth;
  readonly timeoutMs: number;
  readonly sequence?: SequenceCounter;
}

type Batch<Body> = readonly decisions.RecordEnvelope<Body>[];

type AppenderMessage<Body> =
  | { readonly kind: 'flush' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'expire' }
  | {
      readonly kind: 'appended';
      readonly batch: Batch<Body>;
      readonly outcome: common.Outcome<number, LogFailure> | undefined;
    };

/**
 * Appends to one topic with group commit: one append is in flight at a time, and records that arrive meanwhile go into
 * the next one. An unacknowledged append is retried with the same record ids.
 */
export class TopicAppender<Body> extends common.Task<AppenderMessage<Body>> {
  private readonly _queue: AppendQueue<Body>;
  private readonly _backoff = new Backoff();
  private _inFlight = false;
  private _checkReadBack: (() => void) | undefined;
  private _flushPosted = false;
  private _expiryScheduledForMs = Number.POSITIVE_INFINITY;
  private _stopped = false;

  public constructor(
    private readonly _context: ReplicaContext,
    private readonly _options: AppenderOptions,
  ) {
    super();
    this._queue = new AppendQueue(_context.incarnation, _options.sequence);
  }

  /** Appends a record and resolves once it has been read back and replayed. */
  public append(body: Body, timeoutMs: number): Promise<AppendOutcome> {
    const retryAfterMs = this._retryAfterMs();
    if (this._stopped) {
      return Promise.resolve(unavailable('the topic is closed', defaultRetryAfterMs));
    }
    if (retryAfterMs !== undefined) {
      return Promise.resolve(unavailable('the log is down', retryAfterMs));
    }
    return new Promise((resolve) => {
      const { clock, now, wallNow } = this._context;
      if (!this._queue.add(body, clock.stamp(wallNow()), now() + timeoutMs, resolve)) {
        resolve(unavailable('too many appends wait for the log', defaultRetryAfterMs));
        return;
      }
      this._scheduleExpiry(now() + timeoutMs);
      if (!this._inFlight && !this._flushPosted) {
        this._flushPosted = this.post({ kind: 'flush' });
      }
    });
  }

  /** Settles the append of a record that was read back and replayed. */
  public settle(id: decisions.RecordId, offset: number, verdict: decisions.Verdict): void {
    this._queue.settle(id, offset, verdict);
  }

  /** Completes the append in flight if all its records have been read back. */
  public handleReadBack(): void {
    this._checkReadBack?.();
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    this._queue.close();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(message: AppenderMessage<Body>): void {
    if (this._stopped) {
      return;
    }
    switch (message.kind) {
      case 'flush':
        this._flushPosted = false;
        this._flush();
        break;
      case 'retry':
        this._inFlight = false;
        this._flush();
        break;
      case 'expire':
        this._expire();
        break;
      case 'appended':
        this._handleOutcome(message.batch, message.outcome);
        break;
    }
  }

  private _flush(): void {
    if (this._inFlight || !this._queue.hasUnacknowledged) {
      return;
    }
    this._inFlight = true;
    const batch = this._queue.takeBatch();
    const { client, health, topic, timeoutMs } = this._options;
    // Read-back proves that the append took effect, even if its acknowledgement is late or lost.
    const readBack = new Promise<common.Outcome<number, LogFailure>>((resolve) => {
      this._checkReadBack = () => {
        if (this._queue.isReadBack(batch)) {
          resolve(common.succeed(0));
        }
      };
    });
    void health
      .append(() => Promise.race([client.append(topic, batch, timeoutMs), readBack]))
      .then((outcome) => this.post({ kind: 'appended', batch, outcome }));
  }

  private _handleOutcome(batch: Batch<Body>, outcome: common.Outcome<number, LogFailure> | undefined): void {
    this._checkReadBack = undefined;
    if (outcome?.ok) {
      this._inFlight = false;
      this._backoff.reset();
      this._queue.acknowledge(batch);
      this._flush();
      return;
    }
    const retryAfterMs = this._retryAfterMs();
    if (retryAfterMs !== undefined) {
      this._queue.refuseQueued('the log is down', retryAfterMs);
    }
    this.postAfter(this._backoff.nextMs(), () => ({ kind: 'retry' }));
  }

  private _scheduleExpiry(deadlineMs: number | undefined): void {
    if (deadlineMs !== undefined && deadlineMs < this._expiryScheduledForMs) {
      this._expiryScheduledForMs = deadlineMs;
      this.postAfter(Math.max(0, Math.ceil(deadlineMs - this._context.now())), () => ({ kind: 'expire' }));
    }
  }

  private _expire(): void {
    this._expiryScheduledForMs = Number.POSITIVE_INFINITY;
    this._queue.expire(this._context.now(), this._retryAfterMs() ?? defaultRetryAfterMs);
    this._scheduleExpiry(this._queue.earliestDeadlineMs);
  }

  private _retryAfterMs(): number | undefined {
    return this._options.health.retryAfterMs(this._options.topic);
  }
}
