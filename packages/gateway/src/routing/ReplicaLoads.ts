import type { RunningReport } from '../peers/Types.js';
import { modelReferenceKey } from '../placement/DemandAggregator.js';
import type { ModelReference, Replica } from '../Types.js';
import type { Candidate } from './chooseReplica.js';

/** Weight of the newest outcome in the share of failures. */
const failureWeight = 0.15;
/** Time constant in which old failures are forgiven, milliseconds. */
const failureDecayMs = 3_000;
/** A replica whose connection failed is tried again after this time, milliseconds. */
const unreachableMs = 800;
/** A load that a replica told is used for this long, and those of a leader for this long after its last word, milliseconds. */
const reportedLoadLifetimeMs = 1_500;
/** Time of a run before any has been seen, milliseconds, and weight of the newest one in the mean. */
const initialRunMs = 1_000;
const runWeight = 0.1;
/** Prompt parts that are remembered for a replica. */
const maximumPromptParts = 256;

interface Load {
  /** Requests of this daemon by target. */
  readonly own: Map<string, { readonly modelReference: ModelReference | undefined; count: number }>;
  ownTotal: number;
  /** Requests of other daemons as the replica said in its last answer. */
  reportedOthers: number;
  reportedMs: number;
  /** Requests of other daemons as the leader told last. */
  leaderOthers: number;
  /** Mean time from the first byte of an answer to its end, milliseconds. */
  runMs: number;
  failureShare: number;
  failureMs: number;
  unreachableUntilMs: number;
  /** The replica wants no request of this daemon before this time, steady milliseconds. */
  backoffUntilMs: number;
  readonly promptParts: Set<string>;
}

/** What this daemon knows of the load and health of replicas, from its own sends and what others tell. */
export class ReplicaLoads {
  private readonly _loads = new Map<string, Load>();
  private _hasChanges = false;
  private _leaderMessageMs = Number.NEGATIVE_INFINITY;
  private _leaderUpdateMs = Number.NEGATIVE_INFINITY;

  /** True if requests have started or ended since the last report. */
  public get hasChanges(): boolean {
    return this._hasChanges;
  }

  public recordStart(
    replicaId: string,
    modelReference: ModelReference | undefined,
    promptParts: readonly string[],
  ): void {
    const load = this._load(replicaId);
    const key = modelReference === undefined ? '' : modelReferenceKey(modelReference);
    const entry = load.own.get(key) ?? { modelReference, count: 0 };
    entry.count += 1;
    load.own.set(key, entry);
    load.ownTotal += 1;
    this._hasChanges = true;
    this._recordPromptParts(load, promptParts);
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

  /** Notes how a send ended. */
  public recordOutcome(replicaId: string, succeeded: boolean, nowMs: number): void {
    const load = this._load(replicaId);
    load.failureShare = decayedFailureShare(load, nowMs) * (1 - failureWeight) + (succeeded ? 0 : failureWeight);
    load.failureMs = nowMs;
    if (succeeded) {
      load.unreachableUntilMs = 0;
    }
  }

  /** Notes how long a run took from its first byte to its end, milliseconds. */
  public recordRun(replicaId: string, durationMs: number): void {
    const load = this._load(replicaId);
    load.runMs += (durationMs - load.runMs) * runWeight;
  }

  public recordUnreachable(replicaId: string, nowMs: number): void {
    this._load(replicaId).unreachableUntilMs = nowMs + unreachableMs;
  }

  /** Notes that a replica wants no request of this daemon for a time, milliseconds. */
  public recordBackoff(replicaId: string, durationMs: number, nowMs: number): void {
    const load = this._load(replicaId);
    load.backoffUntilMs = Math.max(load.backoffUntilMs, nowMs + durationMs);
  }

  /** Time for which a replica wants no request of this daemon, milliseconds; 0 if it takes them. */
  public backoffMs(replicaId: string, nowMs: number): number {
    return Math.max((this._loads.get(replicaId)?.backoffUntilMs ?? 0) - nowMs, 0);
  }

  /** Takes over the number of requests that a replica said it has. */
  public recordTotal(replicaId: string, total: number, nowMs: number): void {
    const load = this._load(replicaId);
    load.reportedOthers = Math.max(total - load.ownTotal, 0);
    load.reportedMs = nowMs;
  }

  /** Takes over the number of requests that all daemons run on a replica, as the leader tells it after a change. */
  public recordLeaderTotal(replicaId: string, total: number): void {
    const load = this._load(replicaId);
    load.leaderOthers = Math.max(total - load.ownTotal, 0);
  }

  /** Notes that the leader has told the loads that have changed; its others still hold. */
  public recordLeaderUpdate(nowMs: number): void {
    this._leaderUpdateMs = nowMs;
    this._leaderMessageMs = nowMs;
  }

  /** Notes that the leader is heard, so that the loads that it told last still count. */
  public recordLeaderMessage(nowMs: number): void {
    this._leaderMessageMs = nowMs;
  }

  public candidate(replica: Replica, promptParts: readonly string[], nowMs: number): Candidate {
    const load = this._load(replica.id);
    return {
      replica,
      runMs: load.runMs,
      running: load.ownTotal + this._others(load, nowMs),
      failureShare: decayedFailureShare(load, nowMs),
      isUnreachable: nowMs < load.unreachableUntilMs,
      hasPromptParts: promptParts.length > 0 && promptParts.every((part) => load.promptParts.has(part)),
    };
  }

  /** Replicas that could not be connected to a moment ago. */
  public unreachable(nowMs: number): readonly string[] {
    return [...this._loads].filter(([, load]) => nowMs < load.unreachableUntilMs).map(([id]) => id);
  }

  /** What runs, for the leader. */
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

  /** Forgets replicas that are gone, run nothing of this daemon and have not turned it away. */
  public retain(isKnown: (replicaId: string) => boolean, nowMs: number): void {
    for (const [id, load] of this._loads) {
      if (load.ownTotal === 0 && nowMs >= load.backoffUntilMs && !isKnown(id)) {
        this._loads.delete(id);
      }
    }
  }

  /** Requests of other daemons: the newer of what the replica and the leader told. */
  private _others(load: Load, nowMs: number): number {
    const isReportNewer = load.reportedMs > this._leaderUpdateMs;
    if (isReportNewer && nowMs - load.reportedMs < reportedLoadLifetimeMs) {
      return load.reportedOthers;
    }
    return nowMs - this._leaderMessageMs < reportedLoadLifetimeMs ? load.leaderOthers : 0;
  }

  private _recordPromptParts(load: Load, promptParts: readonly string[]): void {
    for (const part of promptParts) {
      load.promptParts.delete(part);
      load.promptParts.add(part);
    }
    for (const part of load.promptParts) {
      if (load.promptParts.size <= maximumPromptParts) {
        return;
      }
      load.promptParts.delete(part);
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
      reportedOthers: 0,
      reportedMs: Number.NEGATIVE_INFINITY,
      leaderOthers: 0,
      runMs: initialRunMs,
      failureShare: 0,
      failureMs: 0,
      unreachableUntilMs: 0,
      backoffUntilMs: 0,
      promptParts: new Set(),
    };
    this._loads.set(replicaId, load);
    return load;
  }
}

function decayedFailureShare(load: Load, nowMs: number): number {
  return load.failureShare * Math.exp(-(nowMs - load.failureMs) / failureDecayMs);
}
