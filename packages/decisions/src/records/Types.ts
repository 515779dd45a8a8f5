/** Records of the topic `control`. */
import type * as common from '@jayhaven/common';
import type {
  AcceleratorBytes,
  Address,
  CellName,
  ClaimOffset,
  ControlLimits,
  DecisionReason,
  LogRecord,
  ModelVersion,
  Offset,
  OrderId,
  ReplicaId,
  TargetDescription,
} from '../state/Types.js';

export interface DaemonJoined {
  readonly kind: 'daemonJoined';
  readonly daemon: string;
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly peers: Address;
  readonly operators: Address;
}
/** Written by a daemon that stops cleanly; it sends nothing after this record. */
export interface DaemonLeft {
  readonly kind: 'daemonLeft';
}
/** Written by any daemon once the evidence is older than the longest delivery time of an order. */
export interface IncarnationGone {
  readonly kind: 'incarnationGone';
  readonly incarnation: common.Incarnation;
  readonly evidence: 'vmGone' | 'successorStarted';
}
export interface OwnerClaimed {
  readonly kind: 'ownerClaimed';
  readonly cell: CellName;
  /** Claim that this one supersedes; null for the first. Replay rejects any other than the latest accepted claim. */
  readonly supersedes: ClaimOffset | null;
}
export interface OwnerRenewed {
  readonly kind: 'ownerRenewed';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
}
export interface OwnerReleased {
  readonly kind: 'ownerReleased';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
}
export interface VmObserved {
  readonly kind: 'vmObserved';
  readonly vm: common.VmName;
  readonly failureDomain: common.FailureDomainName;
  readonly state: 'live' | 'leaving' | 'gone';
  readonly targets: readonly TargetDescription[];
  /**
   * Applied offset when the VM list was read. If given, replay rejects an observation that is older than the latest
   * one, and `gone` if a replica was decided on the VM after the list was read. The daemon that reads the list may be
   * paused before it appends the record.
   */
  readonly readAfter?: Offset;
  /** `VmEntry.observedAt` in the author's state, null if the VM was unknown. If given, it must still be the latest. */
  readonly basedOn?: Offset | null;
}
export interface LoadDecided extends ModelVersion {
  readonly kind: 'loadDecided';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
  readonly target: common.TargetAddress;
  readonly bytes: AcceleratorBytes;
  /** Number of the replica of the model version, counted from 1. Replay rejects any number but the next one. */
  readonly ordinal: number;
  readonly urgency: common.Urgency;
  readonly reason: DecisionReason;
}
/** A new owner adopts an unsettled order and may also send it. */
export interface OrderAdopted {
  readonly kind: 'orderAdopted';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
  readonly order: OrderId;
}
/** An incarnation reports that it will not send the order, or not send it again. */
export interface OrderSettled {
  readonly kind: 'orderSettled';
  readonly order: OrderId;
  readonly result: 'sent' | 'notSent';
}
/** An engine that checks fencing tokens confirmed this claim; it refuses orders of older claims from now on. */
export interface FenceRaised {
  readonly kind: 'fenceRaised';
  readonly target: common.TargetAddress;
  readonly claim: ClaimOffset;
}
export interface ReplicaReady {
  readonly kind: 'replicaReady';
  readonly replica: ReplicaId;
}
/** Common field of the reports that release memory. They are based on the status of the engine. */
export interface EngineStatusReport {
  /**
   * Applied offset when the engine was queried. Replay rejects the report if a sender of the load order was settled
   * later, because its order may have reached the engine after the engine answered.
   */
  readonly readAfter?: Offset;
}
/** The engine confirmed that the replica is not loaded and not loading. */
export interface ReplicaFailed extends EngineStatusReport {
  readonly kind: 'replicaFailed';
  readonly replica: ReplicaId;
  readonly reason: string;
}
export interface UnloadDecided {
  readonly kind: 'unloadDecided';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
  readonly replica: ReplicaId;
  readonly reason: DecisionReason;
}
/** The engine confirmed the unload. */
export interface ReplicaUnloaded extends EngineStatusReport {
  readonly kind: 'replicaUnloaded';
  readonly replica: ReplicaId;
}
export interface AdapterLoadDecided {
  readonly kind: 'adapterLoadDecided';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
  readonly replica: ReplicaId;
  readonly adapter: string;
  readonly bytes: AcceleratorBytes;
}
export interface AdapterReady {
  readonly kind: 'adapterReady';
  readonly order: OrderId;
}
export interface AdapterUnloadDecided {
  readonly kind: 'adapterUnloadDecided';
  readonly cell: CellName;
  readonly claim: ClaimOffset;
  readonly replica: ReplicaId;
  readonly adapter: string;
}
/** The engine confirmed that the adapter is not loaded, after an unload or because its load failed. */
export interface AdapterUnloaded extends EngineStatusReport {
  readonly kind: 'adapterUnloaded';
  readonly replica: ReplicaId;
  readonly adapter: string;
}

/** An edit of one configuration key; `ConfigurationKey` in `configuration/keys.ts` describes the keys. */
export interface ConfigurationEdited {
  readonly kind: 'configurationEdited';
  readonly partner: common.PartnerName;
  readonly operator: string;
  readonly key: string;
  /** Offset of the edit that set the value this one is based on; null if the key was unset. */
  readonly basedOn: Offset | null;
  /** JSON value; null removes the key. */
  readonly value: unknown;
  /** Required for keys under `exceptions/`. */
  readonly reason: string;
}
/** Another partner approves a pending edit of a shared key. */
export interface ConfigurationApproved {
  readonly kind: 'configurationApproved';
  readonly partner: common.PartnerName;
  readonly operator: string;
  readonly edit: Offset;
}

/** Sets the limits that replay enforces. Any daemon may set the first ones; later only the owner of a cell may. */
export interface LimitsSet {
  readonly kind: 'limitsSet';
  /** `ControlState.limitsSetAt` in the author's state, null if no limits were set. It must still be the latest. */
  readonly basedOn: Offset | null;
  readonly limits: ControlLimits;
}

/** Body of a record of the topic `control`. */
export type ControlRecordBody =
  | DaemonJoined
  | DaemonLeft
  | IncarnationGone
  | OwnerClaimed
  | OwnerRenewed
  | OwnerReleased
  | VmObserved
  | LoadDecided
  | OrderAdopted
  | OrderSettled
  | FenceRaised
  | ReplicaReady
  | ReplicaFailed
  | UnloadDecided
  | ReplicaUnloaded
  | AdapterLoadDecided
  | AdapterReady
  | AdapterUnloadDecided
  | AdapterUnloaded
  | ConfigurationEdited
  | ConfigurationApproved
  | LimitsSet;

export type ControlRecord = LogRecord<ControlRecordBody>;
