import * as crypto from 'node:crypto';
import type { RunningReport } from '../peers/Types.js';
import { modelReferenceKey } from '../placement/DemandAggregator.js';
import type { ReportedLoad } from '../contracts/RequestCodec.js';
import type { ModelReference, Replica } from '../Types.js';
import { AbsentModels } from './AbsentModels.js';
import type { Candidate } from './chooseReplica.js';
import { ReplicaSpeeds } from './ReplicaSpeeds.js';
import { ServiceUtilisation } from './ServiceUtilisation.js';

/** Weight of the newest outcome in the failure share. */
const failureWeight = 0.15;
/** Time constant of the decay of the failure share, milliseconds. */
const failureDecayMs = 3_000;
/** Time for which a replica counts as unreachable after a failed connection, milliseconds. */
const unreachableMs = 800;
/**
 * Bounds of the time constant with which a report becomes outdated, milliseconds. Within the bounds it is the run time on
 * the replica, after which most of the reported requests have ended.
 */
const outdatedMs = { minimum: 200, maximum: 3_000 } as const;
/** Maximum number of prompt parts kept for a replica. */
const maximumPromptParts = 256;

interface Load {
  /** This daemon's requests by model and adapter. */
  readonly own: Map<string, { readonly modelReference: ModelReference | undefined; count: number }>;
  ownTotal: number;
  /** Requests of other daemons, as of the last answer of the replica. */
  othersByReplica: number;
  replicaReportMs: number;
  /** Requests of other daemons, as last reported by the leader. */
  othersByLeader: number;
  failureShare: number;
  failureMs: number;
  unreachableUntilMs: number;
  /** Time until which the replica refuses the requests of this daemon, steady milliseconds. */
  backoffUntilMs: number;
  readonly promptPartIds: Set<string>;
  /** True if the replica reports how long work takes on its machine. Only then are replicas compared by their speed. */
  reportsSpeed: boolean;
  /** Service of the replica; undefined until it has been a candidate. */
  service: string | undefined;
  /** Position in the order of this daemon; undefined until it is needed. */
  rank: number | undefined;
}

/** The known load of a replica. */
interface KnownLoad {
  /** Requests of other daemons in the newer of the two reports. */
  readonly others: number;
  /** Time since then, milliseconds; infinite if there is no report. */
  readonly ageMs: number;
}

/** Load and health of replicas, from the requests of this daemon and the reports of replicas and the leader. */
export class ReplicaLoads {
  private readonly _loads = new Map<string, Load>();
  private _hasChanges = false;
  /** Time of the loads that the leader sent or confirmed last. */
  private _leaderLoadsMs = Number.NEGATIVE_INFINITY;
  private readonly _speeds: ReplicaSpeeds;
  private readonly _utilisation = new ServiceUtilisation();
  /** Models that replicas have answered not to hold. */
  public readonly absentModels = new AbsentModels();

  /**
   * The name of the daemon makes its order of the replicas different from that of other daemons. `lastingSlowness` is the
   * estimate of the leader from the streams of all daemons; undefined if there is none.
   */
  public constructor(
    private readonly _daemonName = '',
    lastingSlowness: (replicaId: string) => number | undefined = () => undefined,
  ) {
    this._speeds = new ReplicaSpeeds(lastingSlowness);
  }

  /** True if requests have started or ended since the last report. */
  public get hasChanges(): boolean {
    return this._hasChanges;
  }

  public recordStart(
    replicaId: string,
    modelReference: ModelReference | undefined,
    promptPartIds: readonly string[],
  ): void {
    const load = this._load(replicaId);
    const key = modelReference === undefined ? '' : modelReferenceKey(modelReference);
    const entry = load.own.get(key) ?? { modelReference, count: 0 };
    entry.count += 1;
    load.own.set(key, entry);
    load.ownTotal += 1;
    this._hasChanges = true;
    this._recordPromptParts(load, promptPartIds);
  }

  public recordEnd(replicaId: string, modelReference: ModelReference | undefined): void {
    const load = this._load(replicaId);
    const key = modelReference === undefined ? '' : modelReferenceKey(modelReference);
    const entry = load.own.get(key);
    load.ownTotal -= 1;
    this._hasChanges = true;
    if (entry !== undefined) {
      entry.count -= 1;
      if (entry.count === 0) {
        load.own.delete(key);
      }
    }
  }

  /** Records the outcome of an attempt. */
  public recordOutcome(replicaId: string, succeeded: boolean, nowMs: number): void {
    const load = this._load(replicaId);
    load.failureShare = decayedFailureShare(load, nowMs) * (1 - failureWeight) + (succeeded ? 0 : failureWeight);
    load.failureMs = nowMs;
    if (succeeded) {
      load.unreachableUntilMs = 0;
    }
  }

  /**
   * Records the time of a run from the first byte of its answer to the end, milliseconds. Runs of the same kind take
   * about the same time on replicas of the same speed.
   */
  public recordRun(replicaId: string, durationMs: number, kind = '', nowMs = 0): void {
    this._speeds.recordRun(replicaId, this._load(replicaId).service ?? '', kind, durationMs, nowMs);
  }

  public recordUnreachable(replicaId: string, nowMs: number): void {
    this._load(replicaId).unreachableUntilMs = nowMs + unreachableMs;
  }

  /** Records that a replica refuses the requests of this daemon for the given time, milliseconds. */
  public recordBackoff(replicaId: string, durationMs: number, nowMs: number): void {
    const load = this._load(replicaId);
    load.backoffUntilMs = Math.max(load.backoffUntilMs, nowMs + durationMs);
  }

  /** Remaining time for which a replica refuses the requests of this daemon, milliseconds; 0 if it accepts them. */
  public backoffMs(replicaId: string, nowMs: number): number {
    return Math.max((this._loads.get(replicaId)?.backoffUntilMs ?? 0) - nowMs, 0);
  }

  /** Records the load that a replica reported in an answer. */
  public recordReport(replicaId: string, reported: ReportedLoad, nowMs: number): void {
    const load = this._load(replicaId);
    load.othersByReplica = Math.max(reported.running + reported.waiting - load.ownTotal, 0);
    load.replicaReportMs = nowMs;
    load.reportsSpeed = reported.slowness !== undefined;
    this._speeds.recordMomentary(replicaId, reported, nowMs);
  }

  /** True if a replica reports how long work takes on its machine. */
  public reportsSpeed(replicaId: string): boolean {
    return this._loads.get(replicaId)?.reportsSpeed === true;
  }

  /** Records the number of requests of all daemons on a replica, which the leader sends after a change. */
  public recordLeaderTotal(replicaId: string, total: number): void {
    const load = this._load(replicaId);
    load.othersByLeader = Math.max(total - load.ownTotal, 0);
  }

  /**
   * Records that the leader has sent all changed loads as of the given time. It may repeat this without loads; those that
   * it left out are unchanged.
   */
  public recordLeaderUpdate(asOfMs: number): void {
    this._leaderLoadsMs = Math.max(this._leaderLoadsMs, asOfMs);
  }

  /** Updates the mean utilisation of a service, to which outdated reports decay. */
  public updateUtilisation(service: string, replicas: readonly Replica[], nowMs: number): void {
    this._utilisation.update(service, replicas, nowMs, (id) => this._known(this._load(id), nowMs));
  }

  public candidate(
    replica: Replica,
    promptPartIds: readonly string[],
    nowMs: number,
    hasConnection = false,
  ): Candidate {
    const load = this._load(replica.id);
    load.service = replica.service;
    const slowness = load.reportsSpeed ? this._speeds.slowness(replica.id, nowMs) : 1;
    const runMs = this._speeds.serviceRunMs(replica.service) * slowness;
    const { others, ageMs } = this._known(load, nowMs);
    const decayMs = Math.min(Math.max(runMs, outdatedMs.minimum), outdatedMs.maximum);
    const currentShare = Math.exp(-ageMs / decayMs);
    const knownRunning = load.ownTotal + others * currentShare;
    const meanOthers = this._utilisation.mean(replica.service) * replica.slots;
    return {
      replica,
      runMs,
      slowness,
      running: knownRunning + meanOthers * (1 - currentShare),
      knownRunning,
      reportAgeMs: ageMs,
      failureShare: decayedFailureShare(load, nowMs),
      isUnreachable: nowMs < load.unreachableUntilMs,
      hasPromptParts: promptPartIds.length > 0 && promptPartIds.every((part) => load.promptPartIds.has(part)),
      hasConnection,
    };
  }

  /** Position of a replica in the order of this daemon, from 0 to below 1, which is different for each daemon. */
  public rank(replicaId: string): number {
    const load = this._load(replicaId);
    load.rank ??= rankOf(this._daemonName, replicaId);
    return load.rank;
  }

  /** Replicas to which a connection failed recently. */
  public unreachable(nowMs: number): readonly string[] {
    return [...this._loads].filter(([, load]) => nowMs < load.unreachableUntilMs).map(([id]) => id);
  }

  /** Running requests of this daemon, for the report to the leader. */
  public report(): readonly RunningReport[] {
    this._hasChanges = false;
    return [...this._loads].flatMap(([replicaId, load]) =>
      [...load.own.values()].map(({ modelReference, count }) => ({
        replicaId,
        count,
        ...(modelReference && { target: modelReference }),
      })),
    );
  }

  /** Removes unknown replicas that run no request of this daemon and do not currently refuse its requests. */
  public retain(isKnown: (replicaId: string) => boolean, nowMs: number): void {
    for (const [id, load] of this._loads) {
      if (load.ownTotal === 0 && nowMs >= load.backoffUntilMs && !isKnown(id)) {
        this._loads.delete(id);
        this._speeds.delete(id);
      }
    }
  }

  /** Requests of other daemons, from the newer of the report of the replica and the report of the leader. */
  private _known(load: Load, nowMs: number): KnownLoad {
    return load.replicaReportMs > this._leaderLoadsMs
      ? { others: load.othersByReplica, ageMs: nowMs - load.replicaReportMs }
      : { others: load.othersByLeader, ageMs: nowMs - this._leaderLoadsMs };
  }

  private _recordPromptParts(load: Load, promptPartIds: readonly string[]): void {
    for (const part of promptPartIds) {
      load.promptPartIds.delete(part);
      load.promptPartIds.add(part);
    }
    for (const part of load.promptPartIds) {
      if (load.promptPartIds.size <= maximumPromptParts) {
        return;
      }
      load.promptPartIds.delete(part);
    }
  }

  private _load(replicaId: string): Load {
    const existing = this._loads.get(replicaId);
    if (existing !== undefined) {
      return existing;
    }
    const load: Load = {
      own: new Map(),
      ownTotal: 0,
      othersByReplica: 0,
      replicaReportMs: Number.NEGATIVE_INFINITY,
      othersByLeader: 0,
      failureShare: 0,
      failureMs: 0,
      unreachableUntilMs: 0,
      backoffUntilMs: 0,
      promptPartIds: new Set(),
      reportsSpeed: false,
      service: undefined,
      rank: undefined,
    };
    this._loads.set(replicaId, load);
    return load;
  }
}

function decayedFailureShare(load: Load, nowMs: number): number {
  return load.failureShare * Math.exp(-(nowMs - load.failureMs) / failureDecayMs);
}

function rankOf(daemonName: string, replicaId: string): number {
  return crypto.createHash('sha256').update(`${daemonName} ${replicaId}`).digest().readUInt32BE(0) / 2 ** 32;
}
