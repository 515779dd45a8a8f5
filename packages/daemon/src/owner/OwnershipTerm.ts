import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { hasOlderSender, isAdoptable } from './targetState.js';
import type { OwnerServices } from './OwnerServices.js';
import type { FailedLoad, FinishedLoad } from './Types.js';

/** Daemons report usage within this time after a change of owner; nothing is unloaded before then. */
const usageGraceMs = 3_000;
/** Usage, pauses and hints change without a log record, so a blocked load is retried after this time. */
const blockedRetryMs = 500;
/** Daemons repeat their wake requests every second, so each of them receives a refusal within this time. */
const refusalLifetimeMs = 1_500;
/** A target gets no load for this time after a load has failed there, milliseconds. */
const failedTargetPauseMs = 5_000;
/** Time for which the room made for a load stays reserved for it. */
const reservationMs = 30_000;
/** Consecutive failed loads of a model after which requests for it are refused. */
const failuresUntilRefusal = 3;
/** Time after the last failure for which such requests are refused. */
const failurePauseMs = 5_000;

interface Reservation {
  readonly model: string;
  readonly untilMs: number;
}

/** A load that could not be placed, and the state at that time. */
interface BlockedLoad {
  readonly state: decisions.ControlState;
  readonly atMs: number;
}

interface LoadFailures {
  count: number;
  lastMs: number;
}

/** State of one term of ownership: load queue, usage and pending decisions. Only the load times outlive the term. */
export class OwnershipTerm {
  public readonly queue = new decisions.LoadQueue();
  public readonly usage: decisions.UsageRecorder;
  public readonly loadTokens: decisions.TokenBucket;
  public readonly policy: decisions.KeepAlivePolicy = new decisions.HistogramPolicy();
  /** Loads whose decision is being appended to the log: model to target. */
  public readonly pendingLoads = new Map<string, common.TargetAddress>();
  /** Unloads whose decision is being appended to the log. */
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

  /** Key of a model version in the maps of this class. */
  public static modelKey(model: decisions.ModelVersion): string {
    return `${model.partner}/${model.model}@${model.version}`;
  }

  /** Input of placement decisions at this time. */
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

  /** VMs that are reported as leaving before the log has the record. */
  public set leavingVms(vms: ReadonlySet<common.VmName>) {
    this._leavingVms = vms;
  }

  /** Records when replicas start to load and become ready. */
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

  /** Expected time until a loading replica is ready, milliseconds. */
  public remainingLoadMs(settings: decisions.ModelSettings, replica: decisions.ReplicaId, nowMs: number): number {
    const target = this._services.control.log.state.replicas.get(replica)?.target;
    const elapsedMs = nowMs - (this._loadingSinceMs.get(replica) ?? nowMs);
    // An overdue load is expected to need another tenth of the time that it has taken so far.
    return Math.max(this.loadTimes.expectedMs(settings, target) - elapsedMs, elapsedMs / 10, 10);
  }

  /** Largest ratio of elapsed to expected time among the loads in progress, at least 1: they share the weight store. */
  public slowdown(nowMs: number): number {
    return this._loadingReplicas().reduce((slowest, { settings, replica }) => {
      const elapsedMs = nowMs - (this._loadingSinceMs.get(replica.replica) ?? nowMs);
      return Math.max(slowest, elapsedMs / Math.max(1, this.loadTimes.expectedMs(settings, replica.target)));
    }, 1);
  }

  /** Time until the load at a position in the queue gets a slot for concurrent loads, milliseconds. */
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

  /** Reserves the room that evictions make on a target for one model. */
  public reserve(target: common.TargetAddress, settings: decisions.ModelSettings, nowMs: number): void {
    this._reservations.set(target, { model: OwnershipTerm.modelKey(settings), untilMs: nowMs + reservationMs });
  }

  /** Target on which room is being made for the model, if any. */
  public reservedTarget(settings: decisions.ModelSettings): common.TargetAddress | undefined {
    const key = OwnershipTerm.modelKey(settings);
    return [...this._reservations].find(([, reservation]) => reservation.model === key)?.[0];
  }

  /** Releases the room that is reserved for a model. */
  public releaseReservation(settings: decisions.ModelSettings): void {
    const target = this.reservedTarget(settings);
    if (target !== undefined) {
      this._reservations.delete(target);
    }
  }

  /** Records that a load got no room in time; daemons receive the refusal when they repeat their wake requests. */
  public recordRefusal(settings: decisions.ModelSettings, nowMs: number): void {
    this._refusedUntilMs.set(OwnershipTerm.modelKey(settings), nowMs + refusalLifetimeMs);
  }

  /** Whether a load recently got no room in time. */
  public isRefused(settings: decisions.ModelSettings, nowMs: number): boolean {
    const key = OwnershipTerm.modelKey(settings);
    const isRefused = (this._refusedUntilMs.get(key) ?? -Infinity) > nowMs;
    if (!isRefused) {
      this._refusedUntilMs.delete(key);
    }
    return isRefused;
  }

  /** Records that a load cannot be placed in this state. */
  public recordBlocked(settings: decisions.ModelSettings, state: decisions.ControlState, nowMs: number): void {
    this._blocked.set(OwnershipTerm.modelKey(settings), { state, atMs: nowMs });
  }

  /** Whether a load was tried recently, and neither replicas nor orders nor VMs have changed since. */
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

  /** Updates load rate, load times and failures after a finished load. */
  public recordLoaded(load: FinishedLoad): void {
    const { replica, durationMs } = load;
    const settings = decisions.modelSettings(this._services.control.log.state, replica.partner, replica.model);
    if (settings !== undefined) {
      this.loadTokens.observe(this.loadTimes.expectedMs(settings, replica.target), durationMs);
    }
    this.loadTimes.record(replica, replica.target, durationMs);
    this._failures.delete(`${replica.partner}/${replica.model}`);
  }

  /** Pauses loads on the target of a failed load and counts the failures of its model. */
  public recordFailed(load: FailedLoad, nowMs: number): void {
    this._pausedTargets.set(load.target, nowMs + failedTargetPauseMs);
    const failures = this._failures.get(load.model) ?? { count: 0, lastMs: nowMs };
    this._failures.set(load.model, { count: failures.count + 1, lastMs: nowMs });
  }

  /** Time until a model whose loads failed repeatedly may be requested again; undefined if it is not paused. */
  public failurePauseMs(model: decisions.ModelVersion, nowMs: number): number | undefined {
    const failures = this._failures.get(`${model.partner}/${model.model}`);
    const remainingMs = failures === undefined ? 0 : failures.lastMs + failurePauseMs - nowMs;
    return failures !== undefined && failures.count >= failuresUntilRefusal && remainingMs > 0
      ? remainingMs
      : undefined;
  }

  /** Records whether an engine holds a stray model, one without a replica or an unsettled order. */
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

  /** Whether an order blocks its target: no load is placed there before the fence is raised and the order adopted. */
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
