import type { ModelReference, ModelSpecification, WeightTier } from '../Types.js';

/** Demand for a model or adapter, summed over all daemons. */
export interface Demand {
  readonly modelReference: ModelReference;
  /** Requests that wait because no replica holds the model or adapter. */
  readonly waiting: number;
  /** Shortest time until a waiting request misses its latency target, milliseconds. */
  readonly slackMs: number;
  /** Software versions that some of the waiting requests need, because they go on with streams. */
  readonly requiredVersions: readonly string[];
  /** Time since requests began to wait for the model or adapter, milliseconds. Refused requests do not end the wait. */
  readonly unservedMs: number;
  /** Recent request rate, requests per second. */
  readonly ratePerSecond: number;
  /** Smallest latency target of the requests, milliseconds. */
  readonly latencyTargetMs: number;
  /** Longest time that one of the waiting requests can still wait, milliseconds. Absent if no daemon reports it. */
  readonly waitingTimeoutMs?: number;
  /** Mean time that callers wait for the first byte, milliseconds. Absent if no daemon reports it. */
  readonly callerTimeoutMs?: number;
}

/** An adapter on a replica. */
export interface PlacedAdapter {
  readonly name: string;
  readonly lastUsedMs: number;
}

/** A model on a replica. */
export interface PlacedModel {
  readonly name: string;
  readonly adapters: readonly PlacedAdapter[];
  /** Requests that run on this replica with this model, as reported by the daemons. */
  readonly running: number;
  /** Time at which the model became ready, steady milliseconds. */
  readonly readySinceMs: number;
  /** Time from which the model takes no new requests, as it is to be replaced by another one, steady milliseconds. */
  readonly retiringSinceMs?: number;
}

/** An order that a replica executes, or that may still reach it. */
export interface OrderInProgress {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  readonly tier: WeightTier;
  /** Expected time of completion, steady milliseconds. */
  readonly expectedDoneMs: number;
}

/** The rate limit of a replica. */
export interface PlacedRateLimit {
  readonly perSecond: number;
  /** Time until all requests that wait for permits of the replica have them, milliseconds. */
  readonly backlogMs: number;
}

/** The state of a replica that placement decisions use. */
export interface PlacedReplica {
  readonly id: string;
  readonly softwareVersion: string;
  readonly weightMegabytes: number;
  readonly adapterSlots: number;
  readonly slots: number;
  /** False if the replica is leaving or unreachable: its models serve no new requests. */
  readonly takesRequests: boolean;
  /** False while the replica's state is unknown or it takes no requests. */
  readonly takesOrders: boolean;
  readonly order?: OrderInProgress;
  /** True while an order of a former leader is in progress, which may be a load from the weight store. */
  readonly hasFormerOrder: boolean;
  readonly models: readonly PlacedModel[];
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Present if the replica has a rate limit. */
  readonly rateLimit?: PlacedRateLimit;
  /** Model that the replica is being cleared for: its retiring models are unloaded once their requests have ended. */
  readonly clearingFor?: string;
  readonly running: number;
  /** How much longer work takes on the replica than in the mean of its service; 1 is the mean. */
  readonly slowness: number;
}

/** Everything that a placement decision depends on. */
export interface PlacementInput {
  readonly models: ReadonlyMap<string, ModelSpecification>;
  readonly replicas: readonly PlacedReplica[];
  readonly demands: readonly Demand[];
  /** False while the list of replicas may be incomplete: no model is loaded on the assumption that it has no copy. */
  readonly mayLoadMissing: boolean;
  /** Maximum number of concurrent loads from the weight store. */
  readonly maximumStoreLoads: number;
  /** Models that the store was to load next in the previous plan. */
  readonly nextStoreLoads?: ReadonlySet<string>;
}

/** An order to send, with its reason for the log. */
export interface PlannedOrder {
  readonly replicaId: string;
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  /** Model that this unload clears the replica for. */
  readonly clearingFor?: string;
  /** True if the replica may still be executing an unload that precedes this order. */
  readonly afterUnload?: boolean;
  readonly tier: WeightTier;
  readonly reason: 'waiting' | 'clearing' | 'coverage' | 'secondCopy' | 'fasterCopy' | 'adapter';
}

/** Models of a replica that stop taking new requests, so that another model can be loaded once they are idle. */
export interface PlannedClearing {
  readonly replicaId: string;
  readonly clearingFor: string;
  readonly retiring: readonly string[];
}

/** The result of a placement decision. */
export interface PlacementPlan {
  readonly orders: readonly PlannedOrder[];
  readonly clearings: readonly PlannedClearing[];
  /** Replicas whose clearing is cancelled; their retiring models take requests again. */
  readonly releases: readonly string[];
}
