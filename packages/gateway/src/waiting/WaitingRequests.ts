import { PromisedReturns } from './PromisedReturns.js';
import { modelReferenceKey } from '../placement/DemandAggregator.js';
import type { WaitingReport } from '../peers/Types.js';
import type { PermitDemand } from '../rateLimits/Types.js';
import type { ModelReference } from '../Types.js';

/** A request that waits until a replica holds its model and adapter, or until it may be sent to a replica. */
export interface WaitingRequest {
  readonly modelReference: ModelReference | undefined;
  /** Software version that began the stream with which the request goes on; undefined if it begins anew. */
  readonly requiredVersion: string | undefined;
  /** Rank of the request; 0 is the most urgent. */
  readonly urgency: number;
  /** Time at which the request misses its latency target, steady milliseconds. */
  readonly lateAtMs: number;
  /** Time at which the caller stops waiting for the first byte, steady milliseconds. */
  readonly leavesAtMs: number;
  /** Replica with a rate limit that the request needs a permit for, if any. It may change with each dispatch. */
  readonly limitedReplicaId: () => string | undefined;
  /** Dispatches the request again; returns true if it no longer has to wait. */
  readonly redispatch: () => boolean;
}

/** The waiting requests of this daemon, by model and adapter. */
export class WaitingRequests {
  /** Callers that were refused and asked to return. */
  public readonly returns = new PromisedReturns();
  private readonly _requests = new Map<string, Set<WaitingRequest>>();

  public add(request: WaitingRequest): void {
    const key = keyOf(request);
    const requests = this._requests.get(key) ?? new Set<WaitingRequest>();
    requests.add(request);
    this._requests.set(key, requests);
  }

  public remove(request: WaitingRequest): void {
    const key = keyOf(request);
    const requests = this._requests.get(key);
    requests?.delete(request);
    if (requests?.size === 0) {
      this._requests.delete(key);
    }
  }

  /** Dispatches every waiting request again, the most urgent first. */
  public redispatchAll(): void {
    this._redispatch(this._all());
  }

  /** Dispatches the requests again that need a permit for one of the replicas, the most urgent first. */
  public redispatchFor(replicaIds: ReadonlySet<string>): void {
    this._redispatch(this._all().filter((request) => replicaIds.has(request.limitedReplicaId() ?? '')));
  }

  /** Number of requests of the same urgency that get a permit for a replica before one that is late at `lateAtMs`. */
  public countAhead(replicaId: string, urgency: number, lateAtMs: number): number {
    return this._all().filter(
      (request) =>
        request.limitedReplicaId() === replicaId && request.urgency === urgency && request.lateAtMs < lateAtMs,
    ).length;
  }

  /** Demands for permits, for the report to the leader. */
  public permitDemands(nowMs: number): readonly PermitDemand[] {
    const demands = new Map<string, PermitDemand>();
    for (const { urgency, lateAtMs, limitedReplicaId } of this._all()) {
      const replicaId = limitedReplicaId();
      if (replicaId !== undefined) {
        const key = `${urgency} ${replicaId}`;
        const before = demands.get(key);
        const slackMs = Math.min(before?.slackMs ?? Number.POSITIVE_INFINITY, Math.round(lateAtMs - nowMs));
        demands.set(key, { replicaId, urgency, count: (before?.count ?? 0) + 1, slackMs });
      }
    }
    return [...demands.values()];
  }

  private _all(): WaitingRequest[] {
    return [...this._requests.values()].flatMap((set) => [...set]);
  }

  private _redispatch(requests: WaitingRequest[]): void {
    requests.sort((first, second) => first.urgency - second.urgency || first.lateAtMs - second.lateAtMs);
    for (const request of requests) {
      // Dispatching a request may dispatch others, which then no longer wait.
      if (this._isWaiting(request) && request.redispatch()) {
        this.remove(request);
      }
    }
  }

  private _isWaiting(request: WaitingRequest): boolean {
    return this._requests.get(keyOf(request))?.has(request) === true;
  }

  /** Number of waiting requests. */
  public get size(): number {
    return [...this._requests.values()].reduce((sum, requests) => sum + requests.size, 0);
  }

  /** Counts of waiting requests and of callers that were asked to return, for the report to the leader. */
  public report(nowMs: number): readonly WaitingReport[] {
    const reports = new Map<string, WaitingReport>();
    for (const request of [...this._all(), ...this.returns.awaited(nowMs)]) {
      if (request.modelReference !== undefined) {
        const key = modelReferenceKey(request.modelReference);
        const requiredVersion = 'requiredVersion' in request ? request.requiredVersion : undefined;
        reports.set(key, addToReport(reports.get(key), { ...request, requiredVersion }, nowMs));
      }
    }
    return [...reports.values()];
  }
}

type Awaited = Pick<WaitingRequest, 'modelReference' | 'requiredVersion' | 'lateAtMs' | 'leavesAtMs'>;

function addToReport(before: WaitingReport | undefined, request: Awaited, nowMs: number): WaitingReport {
  const { modelReference: target = { model: '' }, requiredVersion, lateAtMs, leavesAtMs } = request;
  const versions = new Set([...(before?.requiredVersions ?? []), ...(requiredVersion ? [requiredVersion] : [])]);
  return {
    target,
    count: (before?.count ?? 0) + 1,
    slackMs: Math.min(before?.slackMs ?? Number.POSITIVE_INFINITY, Math.round(lateAtMs - nowMs)),
    patienceMs: Math.max(before?.patienceMs ?? Number.NEGATIVE_INFINITY, Math.round(leavesAtMs - nowMs)),
    ...(versions.size > 0 && { requiredVersions: [...versions] }),
  };
}

/** Key of the requests that wait together. Requests without a model share one. */
function keyOf({ modelReference }: WaitingRequest): string {
  return modelReference === undefined ? '' : modelReferenceKey(modelReference);
}
