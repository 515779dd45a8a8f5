import type { RunningReport } from '../peers/Types.js';
import { modelReferenceKey } from '../placement/DemandAggregator.js';
import type { ModelReference, Replica } from '../Types.js';
import type { Candidate } from './chooseReplica.js';

/** Weight of the newest outcome in the failure share. */
const failureWeight = 0.15;
/** Time constant of the decay of the failure share, milliseconds. */
const failureDecayMs = 3_000;
/** Time for which a replica counts as unreachable after a failed connection, milliseconds. */
const unreachableMs = 800;
/**
 * Time for which a load is used, milliseconds: from the answer of the replica that reported it, or from the last
 * message of the leader.
 */
const reportedLoadLifetimeMs = 1_500;
/** Initial value of the mean run time, milliseconds, and weight of the newest run in the mean. */
const initialRunMs = 1_000;
const runWeight = 0.1;
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
  /** Mean time from the first byte of an answer to its end, milliseconds. */
  runMs: number;
  failureShare: number;
  failureMs: number;
  unreachableUntilMs: number;
  /** Time until which the replica refuses the requests of this daemon, steady milliseconds. */
  backoffUntilMs: number;
  readonly promptPartIds: Set<string>;
}

/** Load and health of replicas, from the requests of this daemon and the reports of replicas and the leader. */
export class ReplicaLoads {
  private readonly _loads = new Map<string, Load>();
  private _hasChanges = false;
  private _leaderMessageMs = Number.NEGATIVE_INFINITY;
  private _leaderUpdateMs = Number.NEGATIVE_INFINITY;

  /** `slowness` is how much longer work takes on a replica than in the mean. */
  public constructor(private readonly _slowness: (replicaId: string) => number = () => 1) {}

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

  /** Records the time of a run from the first byte of its answer to the end, milliseconds. */
  public recordRun(replicaId: string, durationMs: number): void {
    const load = this._load(replicaId);
    load.runMs += (durationMs - load.runMs) * runWeight;
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

  /** Records the number of requests that a replica reported in an answer. */
  public recordTotal(replicaId: string, total: number, nowMs: number): void {
    const load = this._load(replicaId);
    load.othersByReplica = Math.max(total - load.ownTotal, 0);
    load.replicaReportMs = nowMs;
  }

  /** Records the number of requests of all daemons on a replica, which the leader sends after a change. */
  public recordLeaderTotal(replicaId: string, total: number): void {
    const load = this._load(replicaId);
    load.othersByLeader = Math.max(total - load.ownTotal, 0);
  }

  /** Records that the leader has sent all changed loads; the loads that it left out are unchanged. */
  public recordLeaderUpdate(nowMs: number): void {
    this._leaderUpdateMs = nowMs;
    this._leaderMessageMs = nowMs;
  }

  /** Records a message from the leader, which keeps the loads that it sent last valid. */
  public recordLeaderMessage(nowMs: number): void {
    this._leaderMessageMs = nowMs;
  }

  public candidate(replica: Replica, promptPartIds: readonly string[], nowMs: number): Candidate {
    const load = this._load(replica.id);
    return {
      replica,
      runMs: load.runMs,
      slowness: this._slowness(replica.id),
      running: load.ownTotal + this._others(load, nowMs),
      failureShare: decayedFailureShare(load, nowMs),
      isUnreachable: nowMs < load.unreachableUntilMs,
      hasPromptParts: promptPartIds.length > 0 && promptPartIds.every((part) => load.promptPartIds.has(part)),
    };
  }

  /** True if all slots of a replica are in use, as far as this daemon knows. */
  public isFull(replica: Replica, nowMs: number): boolean {
    return this.candidate(replica, [], nowMs).running >= replica.slots;
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
      }
    }
  }

  /** Requests of other daemons, from the newer of the report of the replica and the report of the leader. */
  private _others(load: Load, nowMs: number): number {
    const isReplicaReportNewer = load.replicaReportMs > this._leaderUpdateMs;
    if (isReplicaReportNewer && nowMs - load.replicaReportMs < reportedLoadLifetimeMs) {
      return load.othersByReplica;
    }
    return nowMs - this._leaderMessageMs < reportedLoadLifetimeMs ? load.othersByLeader : 0;
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
      runMs: initialRunMs,
      failureShare: 0,
      failureMs: 0,
      unreachableUntilMs: 0,
      backoffUntilMs: 0,
      promptPartIds: new Set(),
    };
    this._loads.set(replicaId, load);
    return load;
  }
}

function decayedFailureShare(load: Load, nowMs: number): number {
  return load.failureShare * Math.exp(-(nowMs - load.failureMs) / failureDecayMs);
}
