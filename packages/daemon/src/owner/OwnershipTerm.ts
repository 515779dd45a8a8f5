import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { hasOlderSender, isAdoptable } from './targetState.js';
import type { OwnerServices } from './OwnerServices.js';
import type { FailedLoad, FinishedLoad } from './Types.js';

/** Daemons report usage within this time after a change of owner; nothing is unloaded before. */
const usageGraceMs = 3_000;
/** Usage, pauses and hints change without a record, so a blocked load is tried again after this time. */
const blockedRetryMs = 500;
/** Daemons repeat their wakes each second, so each of them hears a refusal within this time. */
const refusalLifetimeMs = 1_500;
/** A target gets no load for this time after one failed there, milliseconds. */
const failedTargetPauseMs = 5_000;
/** Room made for a load is kept for it this long. */
const reservationMs = 30_000;
/** Failures of a model in a row after which callers are refused. */
const failuresUntilRefusal = 3;
/** Callers are refused this long after the last failure. */
const failurePauseMs = 5_000;

interface Reservation {
  readonly model: string;
  readonly untilMs: number;
}

/** State in which a load could not be placed. */
interface BlockedLoad {
  readonly state: decisions.ControlState;
  readonly atMs: number;
}

interface LoadFailures {
  count: number;
  lastMs: number;
}

/** What one term of ownership knows: queue, usage, load times and what is being decided. Lost with the term. */
export class OwnershipTerm {
  public readonly queue = new decisions.LoadQueue();
  public readonly usage: decisions.UsageRecorder;
  public readonly loadTokens: decisions.TokenBucket;
  public readonly policy: decisions.KeepAlivePolicy = new decisions.HistogramPolicy();
  /** Loads whose decision is on its way to the log: model to target. */
  public readonly pendingLoads = new Map<string, common.TargetAddress>();
  /** Unloads whose decision is on its way to the log. */
  public readonly pendingUnloads = new Set<decisions.ReplicaId>();
  public readonly loadTimes: decisions.LoadTimes;
  private readonly _reservations = new Map<common.TargetAddress, Reservation>();
  private readonly _pausedTargets = new Map<common.TargetAddress, number>();
  private readonly _strays = new Set<common.TargetAddress>();
  private readonly _blocked = new Map<string, BlockedLoad>();
  private readonly _refusedUntilMs = new Map<string, number>();
  private readonly _failures = new Map<string, LoadFailures>();
  private readonly _readySinceMs = new Map<decisions.ReplicaId, number>();
  private readonly _loadingSinceMs = new Map<decisions.ReplicaId, number>();

  public constructor(
    private readonly _services: OwnerServices,
    public readonly claim: decisions.ClaimOffset,
    private readonly _startedMs: number,
    loadTimes: decisions.LoadTimes,
  ) {
    this.usage = new decisions.UsageRecorder(_startedMs);
    this.loadTokens = new decisions.TokenBucket(_services.context.settings.owner.loadsPerSecond, _startedMs);
    this.loadTimes = loadTimes;
  }

  /** Name of a model version in the maps of this class. */
  public static modelKey(model: decisions.ModelVersion): string {
    return `${model.partner}/${model.model}@${model.version}`;
  }

  /** What placement works with now. */
  public view(nowMs: number, reservedFor?: string): decisions.PlacementView {
    const { state } = this._services.control.log;
    const usages = new Map<string, decisions.ModelUsage>();
    return {
      state,
      policy: this.policy,
      usageOf: (model) => {
        const key = OwnershipTerm.modelKey(model);
        const usage = usages.get(key) ?? this.usage.usageOf(model, nowMs);
        usages.set(key, usage);
        return usage;
      },
      expectedLoadMs: (settings, target) => this.loadTimes.expectedMs(settings, target),
      readySinceMs: (replica) => this._readySinceMs.get(replica) ?? this._startedMs,
      blockedTargets: this._blockedTargets(state, nowMs, reservedFor),
      leavingVms: this._leavingVms,
      evictAfterMs: this._startedMs + usageGraceMs,
      nowMs,
    };
  }

  /** VMs that were called leaving ahead of the log. */
  public set leavingVms(vms: ReadonlySet<common.VmName>) {
    this._leavingVms = vms;
  }

  /** Notes when replicas start and become ready. */
  public observe(state: decisions.ControlState, nowMs: number): void {
    for (const replica of state.replicas.values()) {
      const since = replica.state === 'loading' ? this._loadingSinceMs : this._readySinceMs;
      if (replica.state !== 'unloading' && !since.has(replica.replica)) {
        since.set(replica.replica, nowMs);
      }
    }
    for (const since of [this._loadingSinceMs, this._readySinceMs]) {
      for (const replica of since.keys()) {
        if (!state.replicas.has(replica)) {
          since.delete(replica);
        }
      }
    }
  }

  /** Time a loading replica still needs. */
  public remainingLoadMs(settings: decisions.ModelSettings, replica: decisions.ReplicaId, nowMs: number): number {
    const target = this._services.control.log.state.replicas.get(replica)?.target;
    const elapsedMs = nowMs - (this._loadingSinceMs.get(replica) ?? nowMs);
    // A load that is already late is expected to need a tenth of its time more.
    return Math.max(this.loadTimes.expectedMs(settings, target) - elapsedMs, elapsedMs / 10, 10);
  }

  /** How much longer than expected the slowest load in progress takes, at least 1. The weight store is shared. */
  public slowdown(nowMs: number): number {
    return this._loadingReplicas().reduce((slowest, { settings, replica }) => {
      const elapsedMs = nowMs - (this._loadingSinceMs.get(replica.replica) ?? nowMs);
      return Math.max(slowest, elapsedMs / Math.max(1, this.loadTimes.expectedMs(settings, replica.target)));
    }, 1);
  }

  /** Time until a load at a place of the queue gets one of the slots of concurrent loads, milliseconds. */
  public slotWaitMs(position: number, loadMs: number, nowMs: number): number {
    const { maximumConcurrentLoads } = this._services.control.log.state.limits;
    const remainingTimesMs = this._loadingReplicas()
      .map(({ settings, replica }) => this.remainingLoadMs(settings, replica.replica, nowMs))
      .sort((first, second) => first - second);
    const loadsAhead = position - Math.max(0, maximumConcurrentLoads - remainingTimesMs.length);
    if (loadsAhead < 0) {
      return 0;
    }
    const rounds = Math.floor(loadsAhead / maximumConcurrentLoads);
    return (remainingTimesMs[loadsAhead % maximumConcurrentLoads] ?? 0) + rounds * loadMs;
  }

  /** Keeps the room that evictions make on a target for one model. */
  public reserve(target: common.TargetAddress, settings: decisions.ModelSettings, nowMs: number): void {
    this._reservations.set(target, { model: OwnershipTerm.modelKey(settings), untilMs: nowMs + reservationMs });
  }

  /** Target on which room is being made for the model, if any. */
  public reservedTarget(settings: decisions.ModelSettings): common.TargetAddress | undefined {
    const key = OwnershipTerm.modelKey(settings);
    return [...this._reservations].find(([, reservation]) => reservation.model === key)?.[0];
  }

  /** Gives up the room kept for a model. */
  public releaseReservation(settings: decisions.ModelSettings): void {
    const target = this.reservedTarget(settings);
    if (target !== undefined) {
      this._reservations.delete(target);
    }
  }

  /** Notes that a load waited for room in vain; the daemons hear it when they repeat their wakes. */
  public recordRefusal(settings: decisions.ModelSettings, nowMs: number): void {
    this._refusedUntilMs.set(OwnershipTerm.modelKey(settings), nowMs + refusalLifetimeMs);
  }

  /** Whether a load waited for room in vain a moment ago. */
  public isRefused(settings: decisions.ModelSettings, nowMs: number): boolean {
    const key = OwnershipTerm.modelKey(settings);
    const isRefused = (this._refusedUntilMs.get(key) ?? -Infinity) > nowMs;
    if (!isRefused) {
      this._refusedUntilMs.delete(key);
    }
    return isRefused;
  }

  /** Notes that a load cannot be placed in this state. */
  public recordBlocked(settings: decisions.ModelSettings, state: decisions.ControlState, nowMs: number): void {
    this._blocked.set(OwnershipTerm.modelKey(settings), { state, atMs: nowMs });
  }

  /** Whether a load was tried a moment ago, and neither replicas nor orders nor VMs have changed since. */
  public isBlocked(settings: decisions.ModelSettings, state: decisions.ControlState, nowMs: number): boolean {
    const key = OwnershipTerm.modelKey(settings);
    const blocked = this._blocked.get(key);
    const isUnchanged =
      blocked?.state.replicas === state.replicas &&
      blocked.state.orders === state.orders &&
      blocked.state.vms === state.vms;
    if (!isUnchanged || nowMs - blocked.atMs > blockedRetryMs) {
      this._blocked.delete(key);
      return false;
    }
    return true;
  }

  /** Learns from a finished load. */
  public recordLoaded(load: FinishedLoad): void {
    const { replica, durationMs } = load;
    const settings = decisions.modelSettings(this._services.control.log.state, replica.partner, replica.model);
    if (settings !== undefined) {
      this.loadTokens.observe(this.loadTimes.expectedMs(settings, replica.target), durationMs);
    }
    this.loadTimes.record(replica, replica.target, durationMs);
    this._failures.delete(`${replica.partner}/${replica.model}`);
  }

  /** Leaves out a target for a while after a failed load. */
  public recordFailed(load: FailedLoad, nowMs: number): void {
    this._pausedTargets.set(load.target, nowMs + failedTargetPauseMs);
    const failures = this._failures.get(load.model) ?? { count: 0, lastMs: nowMs };
    this._failures.set(load.model, { count: failures.count + 1, lastMs: nowMs });
  }

  /** Time until a model that failed repeatedly is tried for callers again; undefined if it is not held back. */
  public failurePauseMs(model: decisions.ModelVersion, nowMs: number): number | undefined {
    const failures = this._failures.get(`${model.partner}/${model.model}`);
    const remainingMs = failures === undefined ? 0 : failures.lastMs + failurePauseMs - nowMs;
    return failures !== undefined && failures.count >= failuresUntilRefusal && remainingMs > 0
      ? remainingMs
      : undefined;
  }

  /** Notes whether an engine holds a model that nothing accounts for. */
  public recordStray(target: common.TargetAddress, isPresent: boolean): void {
    if (isPresent) {
      this._strays.add(target);
    } else {
      this._strays.delete(target);
    }
  }

  private _leavingVms: ReadonlySet<common.VmName> = new Set();

  private _loadingReplicas(): readonly {
    readonly settings: decisions.ModelSettings;
    readonly replica: decisions.ReplicaEntry;
  }[] {
    const { state } = this._services.control.log;
    return [...state.replicas.values()].flatMap((replica) => {
      const settings = decisions.modelSettings(state, replica.partner, replica.model);
      return replica.state === 'loading' && settings !== undefined ? [{ settings, replica }] : [];
    });
  }

  private _blockedTargets(
    state: decisions.ControlState,
    nowMs: number,
    reservedFor: string | undefined,
  ): ReadonlySet<common.TargetAddress> {
    const blocked = new Set<common.TargetAddress>([...this.pendingLoads.values(), ...this._strays]);
    for (const [target, untilMs] of this._pausedTargets) {
      if (untilMs > nowMs) {
        blocked.add(target);
      } else {
        this._pausedTargets.delete(target);
      }
    }
    for (const [target, reservation] of this._reservations) {
      if (reservation.untilMs < nowMs) {
        this._reservations.delete(target);
      } else if (reservation.model !== reservedFor) {
        blocked.add(target);
      }
    }
    for (const order of state.orders.values()) {
      if (this._awaitsTakeOver(state, order)) {
        blocked.add(order.target);
      }
    }
    return blocked;
  }

  /** Nothing is decided on a target before its fence is raised and its orders are adopted. */
  private _awaitsTakeOver(state: decisions.ControlState, order: decisions.OrderEntry): boolean {
    if (!hasOlderSender(order, this.claim)) {
      return false;
    }
    const checksTokens = decisions.findTarget(state, order.target)?.target.fencing === 'checked';
    const isUnfenced = checksTokens && (state.fences.get(order.target) ?? -1) < this.claim;
    const isAdopted = order.senders.get(this._services.control.incarnation) === this.claim;
    return isUnfenced || (isAdoptable(state, order) && !isAdopted);
  }
}
