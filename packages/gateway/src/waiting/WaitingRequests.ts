import { modelReferenceKey } from '../placement/DemandAggregator.js';
import type { WaitingReport } from '../peers/Types.js';
import type { ModelReference } from '../Types.js';

/** A request that waits until a replica holds its model and adapter. */
export interface WaitingRequest {
  readonly modelReference: ModelReference;
  /** Rank of the request; 0 is the most urgent. */
  readonly urgency: number;
  /** Time at which the request misses its latency target, steady milliseconds. */
  readonly lateAtMs: number;
  /** Dispatches the request again; returns true if it no longer has to wait. */
  readonly redispatch: () => boolean;
}

/** The waiting requests of this daemon, by model and adapter. */
export class WaitingRequests {
  private readonly _requests = new Map<string, Set<WaitingRequest>>();

  public add(request: WaitingRequest): void {
    const key = modelReferenceKey(request.modelReference);
    const requests = this._requests.get(key) ?? new Set<WaitingRequest>();
    requests.add(request);
    this._requests.set(key, requests);
  }

  public remove(request: WaitingRequest): void {
    const key = modelReferenceKey(request.modelReference);
    const requests = this._requests.get(key);
    requests?.delete(request);
    if (requests?.size === 0) {
      this._requests.delete(key);
    }
  }

  /** Dispatches every waiting request again, the most urgent first. */
  public redispatchAll(): void {
    const requests = [...this._requests.values()].flatMap((set) => [...set]);
    requests.sort((first, second) => first.urgency - second.urgency || first.lateAtMs - second.lateAtMs);
    for (const request of requests) {
      if (request.redispatch()) {
        this.remove(request);
      }
    }
  }

  /** Number of waiting requests. */
  public get size(): number {
    return [...this._requests.values()].reduce((sum, requests) => sum + requests.size, 0);
  }

  /** Counts of waiting requests, for the report to the leader. */
  public report(nowMs: number): readonly WaitingReport[] {
    return [...this._requests.values()].flatMap((requests) => {
      const [first] = requests;
      const slackMs = Math.min(...[...requests].map((request) => request.lateAtMs - nowMs));
      return first === undefined
        ? []
        : [{ target: first.modelReference, count: requests.size, slackMs: Math.round(slackMs) }];
    });
  }
}
