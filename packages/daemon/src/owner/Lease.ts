import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlChange, ControlPlane, DaemonContext, PeerFailure } from '../Types.js';
import { pingResultSchema } from './schemas.js';
import type { LeaseView } from './OwnerServices.js';

/** Interval of the checks, milliseconds. */
const tickMs = 100;
/** Additional delay per rank before a daemon claims, so that the claim of the previous rank is read back first. */
const rankDelayMs = 300;
/** Consecutive refused connections after which the owner's process is assumed to have ended. */
const refusalsUntilGone = 2;
/** Number of daemons that probe the owner's port. */
const proberCount = 2;
const probeIntervalMs = 500;
const probeTimeoutMs = 1_000;
/** Time for which an answered probe counts: one lost or late probe must not make the owner lose the cell. */
const probeValidityMs = 2 * probeIntervalMs + probeTimeoutMs;

/** The lease lasts at least this multiple of a renewal's duration; otherwise a slow log would leave no owner. */
const renewalsPerLease = 3;
/** Maximum duration of the lease on a slow log, milliseconds. */
const maximumLeaseMs = 60_000;
/** Timeout of the append of a claim or renewal, milliseconds; a slow append still counts. */
const appendTimeoutMs = 20_000;
/** An owner that answers probes and reads the log keeps the cell for this many leases without a renewal. */
const graceLeases = 10;

type LeaseMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'changed'; readonly change: ControlChange }
  | { readonly kind: 'appended'; readonly sentAtMs: number; readonly ok: boolean }
  | { readonly kind: 'probed'; readonly owner: common.Incarnation; readonly result: ProbeResult };

/** Result of a probe of the owner. `working`: it owns the cell and reads the log. */
type ProbeResult = 'working' | 'refused' | 'unknown';

/**
 * Claims the cell when it has no owner, and renews the claim. The lease only avoids wasted work: replay rejects
 * decisions under a superseded claim regardless of any lease.
 */
export class Lease extends common.Task<LeaseMessage> implements LeaseView {
  private readonly _cell: string;
  private readonly _unsubscribe: common.Unsubscribe;
  private readonly _logger: common.Logger;
  /** Time since which the cell is known to need an owner. */
  private _vacantSinceMs: number | undefined;
  private _lastRenewalReadMs: number;
  /** Time at which the latest confirmed renewal was sent; the lease runs from then. */
  private _leaseStartMs = -Infinity;
  private _leaseMs: number;
  /** Time at which a probe last showed that the owner works, even if its renewals are late. */
  private _lastWorkingMs = -Infinity;
  private _lastAttemptMs = -Infinity;
  private _lastProbeMs = -Infinity;
  private _refusals = 0;
  private _appending = false;
  private _released = false;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _control: ControlPlane,
  ) {
    super();
    this._cell = _context.settings.daemon.cell;
    this._logger = _context.logger.child('lease');
    this._lastRenewalReadMs = _context.now();
    this._leaseMs = _context.settings.owner.leaseMs;
    _control.peers.handle('owner.ping', () => Promise.resolve({ working: this._isWorking }));
    this._unsubscribe = _control.log.onChange((change) => {
      const kind = change.record.body.kind;
      if (kind === 'ownerClaimed' || kind === 'ownerRenewed' || kind === 'ownerReleased') {
        this.post({ kind: 'changed', change });
      }
    });
    this.postEvery(tickMs, () => ({ kind: 'tick' }));
  }

  public currentClaim(): decisions.ClaimOffset | undefined {
    const entry = this._entry;
    const ownsCell = entry?.owner === this._control.incarnation && entry.claim !== null;
    const isLeaseValid = this._context.now() < this._leaseStartMs + this._leaseMs;
    return ownsCell && isLeaseValid ? entry.claim : undefined;
  }

  /** Records whether a call to the owner found its port closed. */
  public recordOwnerContact(owner: common.Incarnation, refused: boolean): void {
    this.post({ kind: 'probed', owner, result: refused ? 'refused' : 'unknown' });
  }

  /** Releases ownership and stops claiming. */
  public async release(): Promise<void> {
    this._released = true;
    const entry = this._entry;
    if (entry?.owner === this._control.incarnation && entry.claim !== null) {
      const body = { kind: 'ownerReleased', cell: this._cell, claim: entry.claim } as const;
      const outcome = await this._control.log.append(body, this._context.settings.platform.logTimeoutMs);
      this._logger.info(
        outcome.ok ? 'ownership released' : 'could not release ownership; it ends when the lease expires',
      );
    }
  }

  /** Stops claiming; ownership is kept and renewed while orders of this daemon are still being settled. */
  public stopClaiming(): void {
    this._released = true;
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(message: LeaseMessage): void {
    switch (message.kind) {
      case 'tick':
        this._tick(this._context.now());
        break;
      case 'changed':
        this._handleChange(message.change);
        break;
      case 'appended':
        this._appending = false;
        if (message.ok) {
          const tookMs = this._context.now() - message.sentAtMs;
          const { leaseMs } = this._context.settings.owner;
          this._leaseMs = Math.max(leaseMs, Math.min(maximumLeaseMs, tookMs * renewalsPerLease));
          this._leaseStartMs = Math.max(this._leaseStartMs, message.sentAtMs);
        }
        break;
      case 'probed':
        this._handleProbe(message.owner, message.result);
        break;
    }
  }

  private get _entry(): decisions.CellEntry | undefined {
    return this._control.log.state.cells.get(this._cell);
  }

  /** Whether this daemon owns the cell and reads the log, so that no other owner is needed. */
  private get _isWorking(): boolean {
    const { state, lag } = this._control.log;
    const ownsCell = state.cells.get(this._cell)?.owner === this._control.incarnation;
    return ownsCell && lag.logAvailable && !lag.lagging && !this._released;
  }

  private _tick(nowMs: number): void {
    if (this._appending || !this._control.log.lag.logAvailable) {
      return;
    }
    const entry = this._entry;
    if (entry?.owner === this._control.incarnation && entry.claim !== null) {
      this._renew(entry.claim, nowMs);
      return;
    }
    if (this._released) {
      return;
    }
    this._probe(entry, nowMs);
    this._claimIfVacant(entry, nowMs);
  }

  private _renew(claim: decisions.ClaimOffset, nowMs: number): void {
    if (nowMs - this._lastAttemptMs >= this._context.settings.owner.renewMs) {
      this._append({ kind: 'ownerRenewed', cell: this._cell, claim }, nowMs);
    }
  }

  private _claimIfVacant(entry: decisions.CellEntry | undefined, nowMs: number): void {
    if (!this._isVacant(entry, nowMs)) {
      this._vacantSinceMs = undefined;
      return;
    }
    this._vacantSinceMs ??= nowMs;
    if (nowMs >= this._vacantSinceMs + this._rank(entry) * rankDelayMs) {
      this._vacantSinceMs = undefined;
      this._refusals = 0;
      const supersedes = entry?.latestClaim ?? null;
      this._append({ kind: 'ownerClaimed', cell: this._cell, supersedes }, nowMs);
    }
  }

  private _isVacant(entry: decisions.CellEntry | undefined, nowMs: number): boolean {
    if (entry?.owner == null || !this._control.log.state.daemons.has(entry.owner)) {
      return true;
    }
    const { leaseMs } = this._context.settings.owner;
    const sinceRenewalMs = nowMs - this._lastRenewalReadMs;
    const isOwnerWorking =
      nowMs - this._lastWorkingMs <= Math.max(leaseMs, probeValidityMs) && sinceRenewalMs <= graceLeases * leaseMs;
    return (sinceRenewalMs > leaseMs && !isOwnerWorking) || this._refusals >= refusalsUntilGone;
  }

  /** Rank of this daemon in the order in which daemons claim the cell. */
  private _rank(entry: decisions.CellEntry | undefined): number {
    const candidates = this._control.peers.members
      .filter((member) => !member.suspected && member.incarnation !== entry?.owner)
      .map((member) => member.incarnation);
    const ranked = decisions.rankByRendezvous(`owner/${this._cell}/${entry?.latestClaim ?? ''}`, candidates);
    const rank = ranked.indexOf(this._control.incarnation);
    return rank < 0 ? ranked.length : rank;
  }

  private _probe(entry: decisions.CellEntry | undefined, nowMs: number): void {
    const owner = entry?.owner;
    if (owner == null || nowMs - this._lastProbeMs < probeIntervalMs || !this._shouldProbe(entry, nowMs)) {
      return;
    }
    this._lastProbeMs = nowMs;
    void this._control.peers.call(owner, 'owner.ping', {}, probeTimeoutMs).then((outcome) => {
      this.post({ kind: 'probed', owner, result: probeResult(outcome) });
    });
  }

  /** The daemons ranked first always probe the owner; every daemon does once a renewal is late, before it claims. */
  private _shouldProbe(entry: decisions.CellEntry | undefined, nowMs: number): boolean {
    const isRenewalLate = nowMs - this._lastRenewalReadMs > this._context.settings.owner.leaseMs / 2;
    return isRenewalLate || this._rank(entry) < proberCount;
  }

  private _handleProbe(owner: common.Incarnation, result: ProbeResult): void {
    if (owner !== this._entry?.owner) {
      return;
    }
    this._refusals = result === 'refused' ? this._refusals + 1 : 0;
    if (result === 'working') {
      this._lastWorkingMs = this._context.now();
    }
  }

  private _handleChange(change: ControlChange): void {
    if (change.verdict.kind !== 'accepted') {
      return;
    }
    const entry = change.state.cells.get(this._cell);
    if (entry?.renewedAt === change.record.offset) {
      this._lastRenewalReadMs = this._context.now();
    }
    if (change.record.body.kind === 'ownerClaimed') {
      this._refusals = 0;
      this._vacantSinceMs = undefined;
      this._context.timeline.record({
        part: 'owner',
        event: 'ownerClaimed',
        offset: change.record.offset,
        detail: { owner: entry?.owner ?? '' },
      });
    }
  }

  private _append(body: decisions.ControlRecordBody, nowMs: number): void {
    this._appending = true;
    this._lastAttemptMs = nowMs;
    void this._control.log.append(body, appendTimeoutMs).then((outcome) => {
      if (!outcome.ok && outcome.failure.kind !== 'rejected') {
        this._logger.warn(`${body.kind} was not confirmed`, { failure: outcome.failure });
      }
      this.post({ kind: 'appended', sentAtMs: nowMs, ok: outcome.ok });
    });
  }
}

function probeResult(outcome: common.Outcome<unknown, PeerFailure>): ProbeResult {
  if (!outcome.ok) {
    return outcome.failure.kind === 'refused' ? 'refused' : 'unknown';
  }
  const parsed = pingResultSchema.safeParse(outcome.value);
  return parsed.success && parsed.data.working ? 'working' : 'unknown';
}
