import type { ModelReference, ModelSpecification, WeightTier } from '../Types.js';

/** Requests of all daemons for a model or adapter. */
export interface Demand {
  readonly modelReference: ModelReference;
  /** Requests that wait because no replica holds the target. */
  readonly waiting: number;
  /** Least time that a waiting request has left until it is late, milliseconds. */
  readonly slackMs: number;
  /** For how long requests have been waiting for the target, those refused meanwhile included, milliseconds. */
  readonly unservedMs: number;
  /** Requests a second, recently. */
  readonly ratePerSecond: number;
  /** Smallest latency target of the requests, milliseconds. */
  readonly latencyTargetMs: number;
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
  /** Requests that run on this replica with this model, as far as the daemons have told. */
  readonly running: number;
  /** When the model became ready, steady milliseconds. */
  readonly readySinceMs: number;
  /** Since when the model takes no new requests, as it gives way to another one, steady milliseconds. */
  readonly retiringSinceMs?: number;
}

/** An order that a replica carries out, or that may still reach it. */
export interface OrderInProgress {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  readonly tier: WeightTier;
  /** When the order will probably be done, steady milliseconds. */
  readonly expectedDoneMs: number;
}

/** A replica as placement sees it. */
export interface PlacedReplica {
  readonly id: string;
  readonly weightMegabytes: number;
  readonly adapterSlots: number;
  readonly slots: number;
  /** False if the replica is leaving or cannot be reached: its models serve no new request. */
  readonly takesRequests: boolean;
  /** False while the replica's state is unknown or it takes no requests. */
  readonly takesOrders: boolean;
  readonly order?: OrderInProgress;
  /** An order of a former leader goes on, which may be a load from the weight store. */
  readonly hasFormerOrder: boolean;
  readonly models: readonly PlacedModel[];
  readonly inMemory: ReadonlySet<string>;
  readonly onDisk: ReadonlySet<string>;
  /** Model for which the replica is being cleared: its retiring models are unloaded once their requests have ended. */
  readonly clearingFor?: string;
  readonly running: number;
}

/** Everything that a placement decision depends on. */
export interface PlacementInput {
  readonly models: ReadonlyMap<string, ModelSpecification>;
  readonly replicas: readonly PlacedReplica[];
  readonly demands: readonly Demand[];
  /** False while the list of replicas may be incomplete, so that no model can be said to be missing. */
  readonly mayLoadMissing: boolean;
  /** Loads from the weight store that may run at once. */
  readonly maximumStoreLoads: number;
}

/** An order to send, with the reason for the log. */
export interface PlannedOrder {
  readonly replicaId: string;
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  /** Model for which the replica is cleared by this unload. */
  readonly clearingFor?: string;
  /** The replica may still be busy with the unload that made room for this load. */
  readonly afterUnload?: boolean;
  readonly tier: WeightTier;
  readonly reason: 'waiting' | 'clearing' | 'coverage' | 'secondCopy' | 'adapter';
}

/** Models of a replica that take no new requests from now on, so that another one can be loaded once they are idle. */
export interface PlannedClearing {
  readonly replicaId: string;
  readonly clearingFor: string;
  readonly retiring: readonly string[];
}

/** What to do now. */
export interface PlacementPlan {
  readonly orders: readonly PlannedOrder[];
  readonly clearings: readonly PlannedClearing[];
  /** Replicas whose clearing is given up; their retiring models take requests again. */
  readonly releases: readonly string[];
}
