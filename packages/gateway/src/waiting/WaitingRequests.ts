import { TenantShares } from './TenantShares.js';
import { TenantTurns } from './TenantTurns.js';
import { PromisedReturns } from './PromisedReturns.js';
import { modelReferenceKey } from '../placement/DemandAggregator.js';
import type { WaitingReport } from '../peers/Types.js';
import type { PermitDemand } from '../rateLimits/Types.js';
import type { ModelReference } from '../Types.js';

/** Result of dispatching a waiting request again: it waits on, it was sent, or it was refused or has ended. */
export type RedispatchResult = 'waits' | 'sent' | 'ended';

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
  /** Bytes of its body. */
  readonly sizeBytes: number;
  /** Tenant of the caller, if it has one. */
  readonly tenantName: string | undefined;
  /** Replica with a rate limit that the request needs a permit for, if any. It may change with each dispatch. */
  readonly limitedReplicaId: () => string | undefined;
  /** Replicas for which the request is held while they are full, named by their service and model, if it is held. */
  readonly heldFor: () => string | undefined;
  /** Dispatches the request again. */
  readonly redispatch: () => RedispatchResult;
}

/** Least time between two attempts to send held requests, milliseconds. */
const heldIntervalMs = 10;

/** A request whose turn for a permit is estimated. */
export type PermitSeeker = Pick<WaitingRequest, 'urgency' | 'lateAtMs' | 'tenantName'>;

/** The waiting requests of this daemon, by model and adapter. */
export class WaitingRequests {
  /** Callers that were refused and asked to return. */
  public readonly returns = new PromisedReturns();
  public readonly shares = new TenantShares();
  private readonly _turns = new TenantTurns();
  private _dispatchesHeld = false;
  private _heldDispatchedMs = Number.NEGATIVE_INFINITY;
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

  /** Dispatches every waiting request again, in their order. */
  public redispatchAll(nowMs: number): void {
    this._redispatch(this._all(), nowMs);
  }

  /** Dispatches the requests again that need a permit for one of the replicas, in their order. */
  public redispatchFor(replicaIds: ReadonlySet<string>, nowMs: number): void {
    const requests = this._all().filter((request) => replicaIds.has(request.limitedReplicaId() ?? ''));
    this._redispatch(requests, nowMs);
  }

  /** Sends the held requests for which there are slots, in their order. Called when a slot may be free, and at intervals. */
  public redispatchHeld(nowMs: number): void {
    if (this._dispatchesHeld || nowMs - this._heldDispatchedMs < heldIntervalMs) {
      return;
    }
    this._heldDispatchedMs = nowMs;
    this._dispatchesHeld = true;
    try {
      this._redispatch(
        this._all().filter((request) => request.heldFor() !== undefined),
        nowMs,
      );
    } finally {
      this._dispatchesHeld = false;
    }
  }

  /** True if a new request must not pass those that are held for the same replicas. */
  public isHeldFor(replicas: string): boolean {
    return !this._dispatchesHeld && this._all().some((request) => request.heldFor() === replicas);
  }

  /**
   * Number of requests of the same urgency that get a permit for a replica before another one. Each tenant has as many
   * turns before it as the tenant of the request itself.
   */
  public countAhead(replicaId: string, { urgency, lateAtMs, tenantName }: PermitSeeker): number {
    const rivals = this._all().filter(
      (request) => request.limitedReplicaId() === replicaId && request.urgency === urgency,
    );
    const isOwn = (request: WaitingRequest): boolean => request.tenantName === tenantName;
    const ownAhead = rivals.filter((request) => isOwn(request) && request.lateAtMs < lateAtMs).length;
    const others = new Map<string, number>();
    for (const request of rivals.filter((rival) => !isOwn(rival))) {
      const name = request.tenantName ?? '';
      others.set(name, Math.min((others.get(name) ?? 0) + 1, ownAhead + 1));
    }
    return [...others.values()].reduce((sum, count) => sum + count, ownAhead);
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

  private _redispatch(requests: readonly WaitingRequest[], nowMs: number): void {
    for (const request of this._turns.order(requests, nowMs)) {
      // Dispatching a request may dispatch others, which then no longer wait.
      const result = this._isWaiting(request) ? request.redispatch() : 'waits';
      if (result !== 'waits') {
        this.remove(request);
      }
      if (result === 'sent') {
        this._turns.recordServed(request.tenantName);
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
    const waiting = this._all().filter((request) => request.heldFor() === undefined);
    for (const request of [...waiting, ...this.returns.awaited(nowMs)]) {
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
    callerTimeoutMs: Math.max(before?.callerTimeoutMs ?? Number.NEGATIVE_INFINITY, Math.round(leavesAtMs - nowMs)),
    ...(versions.size > 0 && { requiredVersions: [...versions] }),
  };
}

/** Key of the requests that wait together. Requests without a model share one. */
function keyOf({ modelReference }: WaitingRequest): string {
  return modelReference === undefined ? '' : modelReferenceKey(modelReference);
}
