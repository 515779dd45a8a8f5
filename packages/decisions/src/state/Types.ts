import type * as common from '@jayhaven/common';

/** Name of a cell: the VMs that share one weight store and one control topic. */
export type CellName = string;
/** Offset of a record in its topic. */
export type Offset = number;
/** Identifier of a replica: the offset of its `loadDecided` record. */
export type ReplicaId = Offset;
/** Identifier of an order: the offset of the record that decided it. */
export type OrderId = Offset;
/** Offset of an accepted `ownerClaimed` record; also the fencing token of the orders sent under the claim. */
export type ClaimOffset = Offset;

/** Identifies a record. It is a duplicate if its sequence is not above the last replayed one of its incarnation. */
export interface RecordId {
  readonly incarnation: common.Incarnation;
  readonly sequence: number;
}

/** A record as it is appended to a topic. */
export interface RecordEnvelope<Body> {
  readonly id: RecordId;
  readonly clock: common.HybridTime;
  readonly body: Body;
}

/** A record as it is read from a topic. */
export interface LogRecord<Body> extends RecordEnvelope<Body> {
  readonly offset: Offset;
}

export interface Address {
  /** IP address. */
  readonly host: string;
  readonly port: number;
}

/** A target of a VM: an engine or a service, with its address and its memory. */
export interface TargetDescription {
  readonly address: common.TargetAddress;
  readonly role: 'engine' | 'service';
  /** Service name, for a service. */
  readonly service?: string;
  /** Memory of each accelerator, bytes; empty for a service. */
  readonly acceleratorBytes: readonly number[];
  /** Whether the engine refuses an order with an old fencing token. */
  readonly fencing: 'checked' | 'ignored';
}

/** Memory that an order takes on each accelerator of its target, bytes; same length as `acceleratorBytes`. */
export type AcceleratorBytes = readonly number[];

/** Identifies one set of weights. */
export interface ModelVersion {
  readonly partner: common.PartnerName;
  readonly model: string;
  readonly version: string;
}

/** Reason for a decision: the name of the rule and its figures. Shown in the time line. */
export interface DecisionReason {
  readonly rule: string;
  readonly figures: Readonly<Record<string, number | string>>;
}

export interface DaemonEntry {
  readonly incarnation: common.Incarnation;
  readonly daemon: string;
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly peers: Address;
  readonly operators: Address;
  /** `replaced`: a newer incarnation of the same daemon joined, but no `incarnationGone` record was replayed yet. */
  readonly state: 'joined' | 'replaced';
  readonly joinedAt: Offset;
}

export interface CellEntry {
  readonly cell: CellName;
  /** Current claim, or null after a release. */
  readonly claim: ClaimOffset | null;
  readonly owner: common.Incarnation | null;
  /** Latest accepted claim; kept after a release, because the next claim must supersede it. */
  readonly latestClaim: ClaimOffset | null;
  /** Offset of the last claim or renewal; other daemons measure the lease from the time at which they read it. */
  readonly renewedAt: Offset;
}

export interface VmEntry {
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly state: 'live' | 'leaving';
  readonly targets: readonly TargetDescription[];
  /** Offset of the latest accepted observation. */
  readonly observedAt?: Offset;
}

/**
 * State of a replica; the transitions are in `replicaLifecycle.json`. If the load order may have been sent after the
 * engine confirmed that the replica is gone, the replica is `loading` again once the order is settled: the owner
 * queries the engine and reports `replicaReady` or `replicaFailed`.
 */
export type ReplicaState = 'loading' | 'ready' | 'unloading';

export interface ReplicaEntry extends ModelVersion {
  readonly replica: ReplicaId;
  readonly target: common.TargetAddress;
  readonly vm: common.VmName;
  readonly bytes: AcceleratorBytes;
  readonly state: ReplicaState;
  readonly urgency: common.Urgency;
  readonly adapters: ReadonlyMap<string, AdapterEntry>;
  /** Offset of the last record that settled a sender of its load order. */
  readonly lastSettledAt?: Offset;
}

export interface AdapterEntry {
  readonly adapter: string;
  readonly order: OrderId;
  readonly bytes: AcceleratorBytes;
  readonly state: ReplicaState;
  /** Offset of the last record that settled a sender of its load order. */
  readonly lastSettledAt?: Offset;
}

/** An order that some incarnation may still send. */
export interface OrderEntry extends ModelVersion {
  readonly order: OrderId;
  readonly action: 'load' | 'unload' | 'adapterLoad' | 'adapterUnload';
  readonly replica: ReplicaId;
  readonly adapter?: string;
  readonly target: common.TargetAddress;
  /** Memory reserved while the order is unsettled, bytes. */
  readonly bytes: AcceleratorBytes;
  /** Incarnations that may still send it, each with the claim under which it sends. */
  readonly senders: ReadonlyMap<common.Incarnation, ClaimOffset>;
  /** Urgency of the load, for a load order. */
  readonly urgency?: common.Urgency;
  /** Whether a sender may have sent it after the engine confirmed that the replica or adapter is gone. */
  readonly mayHaveRunLate?: boolean;
  /**
   * Whether the target is no longer listed. The order does not count as a replica, but still reserves memory, because
   * another VM may get the same address before the senders are settled.
   */
  readonly targetGone?: boolean;
}

export interface ConfigurationEntry {
  readonly key: string;
  readonly value: unknown;
  readonly partner: common.PartnerName;
  readonly operator: string;
  readonly reason: string;
  /** Offset of the edit that set it: its version. */
  readonly version: Offset;
  readonly clock: common.HybridTime;
}

/** An edit of a shared key that the other partners have not all approved yet. */
export interface PendingEdit extends ConfigurationEntry {
  readonly basedOn: Offset | null;
  readonly approvedBy: readonly common.PartnerName[];
}

/** An entry of the configuration history. */
export interface EditHistoryEntry {
  readonly offset: Offset;
  readonly key: string;
  readonly partner: common.PartnerName;
  readonly operator: string;
  readonly value: unknown;
  readonly reason: string;
  readonly clock: common.HybridTime;
  /** Rule that rejected the edit; absent for an accepted one. */
  readonly rejectedBy?: string;
  readonly pending?: boolean;
}

/** Limits that replay enforces; the same in every daemon of a cell. */
export interface ControlLimits {
  /** Maximum number of model loads in progress per cell. */
  readonly maximumConcurrentLoads: number;
  /** Maximum number of adapters in transit per cell. */
  readonly maximumAdaptersInTransit: number;
  /** Partners that must approve edits of shared keys. */
  readonly partners: readonly common.PartnerName[];
}

/** The state that every daemon replays from the topic `control`. */
export interface ControlState {
  readonly limits: ControlLimits;
  /** Offset of the record that set the limits; absent while the built-in limits apply. */
  readonly limitsSetAt?: Offset;
  /** Offset of the last applied record; -1 before the first. */
  readonly appliedOffset: Offset;
  readonly lastSequences: ReadonlyMap<common.Incarnation, number>;
  readonly daemons: ReadonlyMap<common.Incarnation, DaemonEntry>;
  readonly cells: ReadonlyMap<CellName, CellEntry>;
  readonly vms: ReadonlyMap<common.VmName, VmEntry>;
  readonly replicas: ReadonlyMap<ReplicaId, ReplicaEntry>;
  /** Unsettled orders only. */
  readonly orders: ReadonlyMap<OrderId, OrderEntry>;
  /** Highest fencing token that each engine with checked fencing confirmed. */
  readonly fences: ReadonlyMap<common.TargetAddress, ClaimOffset>;
  readonly configuration: ReadonlyMap<string, ConfigurationEntry>;
  readonly pendingEdits: ReadonlyMap<Offset, PendingEdit>;
  /** Latest edits in the order of the log; at most `maximumHistoryEntries`. */
  readonly history: readonly EditHistoryEntry[];
}

/** Result of replay for one record. */
export type Verdict =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'duplicate' }
  | { readonly kind: 'rejected'; readonly rule: RejectionRule; readonly message: string; readonly winner?: Offset };

export type RejectionRule =
  | 'claimSuperseded'
  | 'notOwner'
  | 'wrongOrdinal'
  | 'maximumReplicas'
  | 'memory'
  | 'targetUnknown'
  | 'targetLeaving'
  | 'unsettledOrder'
  | 'concurrentLoads'
  | 'adaptersInTransit'
  | 'wrongState'
  | 'unknownReference'
  | 'notAuthor'
  | 'staleEdit'
  | 'foreignKey'
  | 'missingReason'
  | 'invalidValue'
  | 'unknownKey'
  | 'shareExceeded'
  | 'unknownSender'
  /** This version does not support the kind of the record. */
  | 'unknownKind'
  | 'invalidRecord'
  /** An earlier claim holds the idempotency key. */
  | 'keyTaken';

export interface ReplayResult {
  readonly state: ControlState;
  readonly verdict: Verdict;
}

/** Settings of one model after defaults and exceptions are applied. Times in milliseconds, memory in bytes. */
export interface ModelSettings extends ModelVersion {
  /** Weights per accelerator; the model needs as many accelerators as entries. */
  readonly weightBytes: AcceleratorBytes;
  /** Memory reserved for the prefix cache and KV cache, per accelerator. */
  readonly cacheBytes: number;
  readonly adapters: ReadonlyMap<string, AdapterSettings>;
  readonly minimumReplicas: number;
  readonly maximumReplicas: number;
  readonly keepAliveMs: number;
  /** Requests in flight per replica, averaged over all replicas, above which another replica is loaded. */
  readonly requestsPerReplica: number;
  readonly urgency: common.Urgency;
  readonly deadlineMs: number;
  /** Maximum number of waiting requests per daemon. */
  readonly queueLimit: number;
  /** 0: only idle accelerator hours count; 1: only tail cold-start time counts. */
  readonly coldStartWeight: number;
  /** Load time that is assumed when there is no measurement. */
  readonly expectedLoadMs: number;
}

export interface AdapterSettings {
  readonly adapter: string;
  readonly bytes: number;
}

/** A plain service of a partner. */
export interface ServiceSettings {
  readonly partner: common.PartnerName;
  readonly service: string;
  /** `METHOD /path-prefix` of calls that may be repeated; all others are non-idempotent. */
  readonly idempotentRoutes: readonly string[];
  readonly deadlineMs: number;
}

/** Load of a target as reported by its engine. */
export interface LoadDigest {
  readonly target: common.TargetAddress;
  /** The engine's own sequence number; a digest with a lower one is older. */
  readonly sequence: number;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Whether the collector reaches the target. */
  readonly reachable: boolean;
}
