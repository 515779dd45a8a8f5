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
  readonly end: number;
  /** True for a whole table, false for changes. */
  readonly whole: boolean;
}

/** How far a daemon knows the tables from the store itself: the offsets from which it lacks changes. */
export type KnownTables = Readonly<Record<TableName, number>>;

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
  /** Requests that all daemons together run on a replica, by replica id; those that the message leaves out are unchanged. */
  readonly running: Readonly<Record<string, number>>;
  readonly estimates: readonly ReadyEstimate[];
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
  readonly known: KnownTables;
  readonly table: TableMessage;
  readonly holdings: ReplicaHoldings;
  readonly status: LeaderStatus;
  readonly leaseCall: LeaseCall;
  readonly leaseReply: LeaseReply;
}
