import * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { LeaseSnapshot, StoreFailure, TablePosition } from '../contracts/MetadataStore.js';
import type { Instant } from '../Types.js';
import {
  decodeLease,
  encodeLease,
  fencingToken,
  firstOrderDelayMs,
  isHolderUncertain,
  isLeaseValid,
  type LeaseRecord,
  type LeaseTimes,
  type ObservedLease,
  takeoverDelayMs,
} from './Lease.js';
import type { LeaderAnnouncement, LeaderLocation } from './KnownLeader.js';
import type { LeaseStore } from './LeaseStore.js';
import { pause } from '../pause.js';

/** Largest random delay before a takeover, milliseconds. Daemons that detect the end together should not all write. */
const takeoverJitterMs = 250;
/** Pause after a failed call to the store, milliseconds. */
const retryMs = 400;

/** Position at which the first record is expected before the lease was read. */
const initialEnd: TablePosition = { era: 0, offset: 0 };
/** Offset that stands for a missing record. */
const noRecordOffset = -1;

interface Term {
  readonly token: number;
  readonly renewedAt: Instant;
  readonly ordersFromSteadyMs: number;
  readonly ordersFromWallMs: number;
}

/** Acquires and renews the lease of the placement leader, a record in the platform's store, or follows its holder. */
export class LeaderElector implements AsyncDisposable {
  private readonly _onLeader = new common.Emitter<LeaderAnnouncement>();
  /** Fires when a record names a leader, which may be this daemon. */
  public readonly onLeader = this._onLeader.event;
  private _observed: ObservedLease | undefined;
  /** End of the lease's topic; undefined before its first read. */
  private _end: TablePosition | undefined;
  private _term: Term | undefined;
  private _stopped = false;
  private _isLeaseReadable = true;

  public constructor(
    private readonly _store: LeaseStore,
    private readonly _self: LeaderLocation,
    private readonly _times: LeaseTimes,
    /** Time that this VM waits before it takes a free lease from another VM, milliseconds. */
    private readonly _takeoverBackoffMs: number,
    private readonly _clock: Clock,
    /** True if the system has just been set up, so that a missing record means that there was no holder yet. */
    private readonly _isFirstStart: boolean,
    /** True while the leader sends messages over a peer connection, so that its record need not be read. */
    private readonly _isLeaderAlive: () => boolean,
    private readonly _log: common.Logger,
  ) {}

  public start(): void {
    void this._run();
  }

  /** True if this daemon holds the lease, even before it may send orders. */
  public get isHolder(): boolean {
    return this._term !== undefined;
  }

  /** True if this daemon holds the lease at this moment, by both clocks, even before it may send orders. */
  public isLeaseHeld(now: Instant): boolean {
    return this._term !== undefined && isLeaseValid(this._term.renewedAt, now, this._times);
  }

  /** Fencing token; undefined if no orders may be sent at this moment. */
  public orderToken(now: Instant): number | undefined {
    const term = this._term;
    const valid = term !== undefined && isLeaseValid(term.renewedAt, now, this._times);
    return valid && now.steadyMs >= term.ordersFromSteadyMs ? term.token : undefined;
  }

  /** Releases the lease, so that a successor need not wait until it expires. */
  public async release(): Promise<void> {
    this._stopped = true;
    const term = this._term;
    this._term = undefined;
    if (term !== undefined) {
      await this._write({ term: term.token, ordersFromWallMs: term.ordersFromWallMs, released: true });
      this._log.info('Released the lease.', { term: term.token });
    }
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    return Promise.resolve();
  }

  private async _run(): Promise<void> {
    while (!this._stopped) {
      await pause(this._term === undefined ? await this._follow() : await this._renew());
    }
  }

  /** Reads the lease and takes it over when it has expired; returns the pause until the next step. */
  private async _follow(): Promise<number> {
    if (this._isLeaderAlive()) {
      return this._times.renewMs;
    }
    if (!(await this._readLease())) {
      return retryMs;
    }
    const delayMs = takeoverDelayMs(this._observed, this._self.holder, this._clock.now(), this._times);
    if (delayMs > 0) {
      // A VM with a takeover backoff does not need to read the lease in every renewal interval.
      const pauseMs = this._takeoverBackoffMs > 0 ? delayMs : Math.min(delayMs, this._times.renewMs);
      return pauseMs + Math.random() * takeoverJitterMs;
    }
    return (await this._backOffBeforeTakeover()) ? this._takeOver() : this._times.renewMs;
  }

  /** Waits before a takeover, so that few daemons write at once; false if the lease has been taken meanwhile. */
  private async _backOffBeforeTakeover(): Promise<boolean> {
    if (this._observed?.record?.holder === this._self.holder && !isHolderUncertain(this._observed)) {
      return true;
    }
    const before = this._observed;
    await pause(this._takeoverBackoffMs + Math.random() * takeoverJitterMs);
    return !this._isLeaderAlive() && (await this._readLease()) && this._observed === before;
  }

  private async _takeOver(): Promise<number> {
    const former = this._observed;
    const token = fencingToken(this._end ?? initialEnd);
    const sentAt = this._clock.now();
    const delayMs = firstOrderDelayMs(former, this._self.holder, sentAt, this._times);
    const ordersFromWallMs = sentAt.wallMs + delayMs;
    if (!(await this._write({ term: token, ordersFromWallMs, released: false }))) {
      return retryMs / 2;
    }
    this._term = { token, renewedAt: sentAt, ordersFromSteadyMs: sentAt.steadyMs + delayMs, ordersFromWallMs };
    this._log.info('Acquired the lease.', { term: token, former: former?.record?.holder, firstOrderInMs: delayMs });
    this._onLeader.fire({ ...this._self, term: token });
    return this._times.renewMs;
  }

  private async _renew(): Promise<number> {
    const term = this._term;
    if (term === undefined) {
      return 0;
    }
    const sentAt = this._clock.now();
    if (await this._write({ term: term.token, ordersFromWallMs: term.ordersFromWallMs, released: false })) {
      // The lease may have been released while the write was in progress.
      this._term = this._isCurrent(term) ? { ...term, renewedAt: sentAt } : this._term;
      return this._times.renewMs;
    }
    await this._checkTerm(term);
    return this._isCurrent(term) ? retryMs / 2 : 0;
  }

  /** After a failed renewal, ends the term if another holder has written the lease or the last renewal has expired. */
  private async _checkTerm(term: Term): Promise<void> {
    const reached = await this._readLease();
    const isUncertain = this._observed === undefined || isHolderUncertain(this._observed);
    const record = this._observed?.record;
    const isOwn = record?.holder === this._self.holder && record.term === term.token;
    if (reached && isOwn && !isUncertain) {
      return;
    }
    const expired = !isLeaseValid(term.renewedAt, this._clock.now(), this._times);
    const isTakenOver = reached && !isOwn && !isUncertain;
    if (isTakenOver || expired) {
      this._term = undefined;
      this._log.warn('Lost the lease.', {
        term: term.token,
        reason: isTakenOver ? 'taken over' : 'not renewed in time',
      });
    }
  }

  private _isCurrent(term: Term): boolean {
    return !this._stopped && this._term?.token === term.token;
  }

  private async _write(record: Omit<LeaseRecord, 'holder' | 'peerAddress' | 'era'>): Promise<boolean> {
    const end = this._end ?? initialEnd;
    const value = encodeLease({ ...record, ...this._self, era: end.era });
    const outcome = await this._store.writeLease(end, value);
    if (!outcome.ok) {
      this._log.warn('Could not write the lease.', { reason: outcome.failure.kind, message: outcome.failure.message });
      return false;
    }
    this._end = { era: end.era, offset: outcome.value + 1 };
    return true;
  }

  private async _readLease(): Promise<boolean> {
    const outcome = await this._store.readLease();
    this._logReadability(outcome);
    if (!outcome.ok) {
      return false;
    }
    const { end, era } = outcome.value;
    if (this._end !== undefined && era < this._end.era) {
      // A peer answered that has not noticed the restore.
      return false;
    }
    // Without a record, only the first start of the system is certain that nobody holds the lease.
    const hasHistory = this._end === undefined ? !this._isFirstStart : this._end.era !== era;
    this._end = { era, offset: end };
    this._observe(outcome.value, hasHistory);
    return true;
  }

  /** Keeps the stored record, with the time at which it was first read. */
  private _observe({ record: stored, era }: LeaseSnapshot, hasHistory: boolean): void {
    if (stored === undefined && this._observed === undefined && !hasHistory) {
      return;
    }
    const position = { era, offset: stored?.offset ?? noRecordOffset };
    const before = this._observed?.position;
    if (before?.era === era && before.offset === position.offset) {
      return;
    }
    const record = stored === undefined ? undefined : decodeLease(stored.value);
    if (stored !== undefined && record === undefined) {
      this._log.error('The lease record is unreadable.', { ...position });
    }
    this._observed = { position, ...(record && { record }), observedAt: this._clock.now() };
    if (record?.era !== era) {
      this._log.warn('The lease is of an earlier era of the store; another VM may hold it.', {
        ...position,
        holder: record?.holder,
        writtenInEra: record?.era,
      });
    }
    if (record?.released === false) {
      this._onLeader.fire(record);
    }
  }

  /** Logs the first failed read of a series and the first successful read after it. */
  private _logReadability(outcome: common.Outcome<unknown, StoreFailure>): void {
    if (outcome.ok === this._isLeaseReadable) {
      return;
    }
    this._isLeaseReadable = outcome.ok;
    if (outcome.ok) {
      this._log.info('The lease can be read again.');
    } else {
      this._log.warn('Could not read the lease.', { reason: outcome.failure.kind, message: outcome.failure.message });
    }
  }
}
