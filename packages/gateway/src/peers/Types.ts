import type { LeaseSnapshot, StoreFailure, TableName, TableRecord } from '../contracts/MetadataStore.js';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import type { ModelReference } from '../Types.js';

/** Requests of one daemon that wait for a model or adapter. */
export interface WaitingReport {
  readonly target: ModelReference;
  readonly count: number;
  /** Time until the first of them is late, milliseconds. */
  readonly slackMs: number;
}

/** Requests of one daemon that came since its last report. */
export interface ArrivalReport {
  readonly target: ModelReference;
  readonly count: number;
  readonly latencyTargetMs: number;
}

/** Requests of one daemon that run on a replica. */
export interface RunningReport {
  readonly replicaId: string;
  readonly target?: ModelReference;
  readonly count: number;
}

/** What a daemon tells the leader. */
export interface DaemonReport {
  readonly daemon: string;
  readonly waiting: readonly WaitingReport[];
  readonly arrivals: readonly ArrivalReport[];
  readonly running: readonly RunningReport[];
  /** Replicas that the daemon could not connect to a moment ago. */
  readonly unreachable: readonly string[];
}

/** Records of a table that a peer has read. */
export interface TableMessage {
  readonly table: TableName;
  readonly records: readonly TableRecord[];
  /**
   * Offset before which the receiver then knows all changes that matter to it, in answer to what it said it knows; 0 for
   * single changes.
   */
  readonly end: number;
  /** True for a whole table, false for changes. */
  readonly whole: boolean;
}

/** How far a daemon knows the tables from the store itself: the offsets from which it lacks changes. */
export type TableOffsets = Readonly<Record<TableName, number>>;

/** Expected time until a model that requests wait for is ready. */
export interface ReadyEstimate {
  readonly model: string;
  readonly readyInMs: number;
}

/** What the leader tells every daemon at short intervals. */
export interface LeaderStatus {
  /** False once the sender no longer leads; its tables still count. */
  readonly leads: boolean;
  /** False while the sender does not reach the store, so that it cannot tell of changes. */
  readonly tellsChanges: boolean;
  readonly daemonCount: number;
  /** Offsets before which the sender has told all changes of the tables to peers that have caught up with it. */
  readonly ends: TableOffsets;
}

/** Requests that all daemons together run on replicas, by replica id. Replicas that are left out are unchanged. */
export interface LoadsMessage {
  readonly running: Readonly<Record<string, number>>;
}

/** Expected times for the models that the receiver's requests wait for; models that are left out are not expected. */
export interface EstimatesMessage {
  readonly estimates: readonly ReadyEstimate[];
}

/** Models of replicas as the leader knows them. */
export interface HoldingsMessage {
  readonly replicas: readonly ReplicaHoldings[];
}

/** A replica has said in an answer that it leaves. */
export interface LeavingMessage {
  readonly replicaId: string;
  /** Start of the replica that leaves; a later start under the same id does not. */
  readonly bornMs: number;
}

/** A call about the lease that another daemon makes for one that does not reach the store. */
export interface LeaseCall {
  readonly call: number;
  /** Absent for a read. */
  readonly write?: { readonly expectedEnd: number; readonly value: string };
}

/** Result of a lease call. */
export interface LeaseReply {
  readonly call: number;
  readonly snapshot?: LeaseSnapshot;
  readonly offset?: number;
  readonly failure?: StoreFailure;
}

/** Messages by method name. */
export interface PeerMessages {
  readonly report: DaemonReport;
  readonly known: TableOffsets;
  readonly table: TableMessage;
  readonly holdings: HoldingsMessage;
  readonly status: LeaderStatus;
  readonly loads: LoadsMessage;
  readonly estimates: EstimatesMessage;
  readonly leaving: LeavingMessage;
  readonly leaseCall: LeaseCall;
  readonly leaseReply: LeaseReply;
}
