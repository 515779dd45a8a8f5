import type { AnsweredPartsMessage, CrashReport, SuspectsMessage, TrialMessage } from '../crashes/Types.js';
import type { LeaseSnapshot, StoreFailure, TableName, TableRecord } from '../contracts/MetadataStore.js';
import type { LeaderAnnouncement } from '../leadership/KnownLeader.js';
import type { QuotaAnswer, QuotaAsk } from '../quotas/Types.js';
import type { PermitMessage, PermitReport, RateLimitStatement } from '../rateLimits/Types.js';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import type { SlownessByReplica, SpeedReport } from '../speeds/Types.js';
import type {
  OriginQuery,
  OriginReply,
  OriginsMessage,
  OriginsStoredMessage,
  VersionsMessage,
} from '../streams/Types.js';
import type { ModelReference } from '../Types.js';

/** Requests of one daemon that wait for a model or adapter. */
export interface WaitingReport {
  readonly target: ModelReference;
  readonly count: number;
  /** Time until the first of them is late, milliseconds. */
  readonly slackMs: number;
  /** Software versions that some of them need, because they go on with streams. Absent if none does. */
  readonly requiredVersions?: readonly string[];
  /** Longest time that one of them can still wait, milliseconds. Absent in reports of earlier versions. */
  readonly callerTimeoutMs?: number;
}

/** Requests of one daemon that arrived since its last report. */
export interface ArrivalReport {
  readonly target: ModelReference;
  readonly count: number;
  readonly latencyTargetMs: number;
  /** Mean time that their callers wait for the first byte, milliseconds. Absent in reports of earlier versions. */
  readonly callerTimeoutMs?: number;
}

/** Requests of one daemon that run on a replica. */
export interface RunningReport {
  readonly replicaId: string;
  readonly target?: ModelReference;
  readonly count: number;
}

/** Periodic report of a daemon to the leader. */
export interface DaemonReport {
  readonly daemon: string;
  readonly waiting: readonly WaitingReport[];
  readonly arrivals: readonly ArrivalReport[];
  readonly running: readonly RunningReport[];
  /** Replicas that the daemon recently failed to connect to. */
  readonly unreachable: readonly string[];
  /** Permits that the daemon needs for replicas with a rate limit. Absent in reports of earlier versions. */
  readonly permits?: PermitReport;
  /** Event gaps of the streams that have ended since the last report. Absent in reports of earlier versions. */
  readonly speeds?: readonly SpeedReport[];
}

/** Records of a table that a peer has read. */
export interface TableMessage {
  readonly table: TableName;
  readonly records: readonly TableRecord[];
  /**
   * In the answer to a `known` message, the offset before which the receiver then has all changes that it needs; 0 for
   * single changes.
   */
  readonly end: number;
  /** True for a full table, false for changes. */
  readonly whole: boolean;
  /**
   * Keys of all records that exist, if the sender may not know each removal since the receiver's offset. The receiver
   * removes its other keys.
   */
  readonly presentKeys?: readonly string[];
  /** Era of the store in which the offsets hold. Absent in messages of earlier versions. */
  readonly era?: number;
  /**
   * Time for which removed replicas stay in use, milliseconds, as the sender judges from its reads of the store. Absent
   * in messages of earlier versions.
   */
  readonly removalGraceMs?: number;
}

/** For each table, the offset from which a daemon still lacks changes. */
export interface TableOffsets extends Readonly<Record<TableName, number>> {
  /** Eras of the store in which the offsets hold. Absent in messages of earlier versions. */
  readonly eras?: Readonly<Record<TableName, number>>;
}

/** Expected time until a model that requests wait for is ready. */
export interface ReadyEstimate {
  readonly model: string;
  readonly readyInMs: number;
  /** Time over which the model takes those who wait, if they are more than it can serve at once, milliseconds. */
  readonly spreadMs?: number;
}

/** Status that the leader sends to every daemon at short intervals. */
export interface LeaderStatus {
  /** False once the sender no longer leads; its table records remain valid. */
  readonly leads: boolean;
  /** False while the sender does not reach the store and so cannot forward changes. */
  readonly tellsChanges: boolean;
  readonly daemonCount: number;
  /** Offsets before which the sender has sent all changes of the tables to peers that have caught up with it. */
  readonly ends: TableOffsets;
}

/** Running requests of all daemons together, by replica id. Replicas that are left out are unchanged. */
export interface LoadsMessage {
  readonly running: Readonly<Record<string, number>>;
}

/** Lasting speeds of replicas, as the leader estimates them. Replicas that are left out are unchanged. */
export interface SpeedsMessage {
  readonly slowness: SlownessByReplica;
}

/** Expected times for the models that the receiver's requests wait for; models that are left out have no estimate. */
export interface EstimatesMessage {
  readonly estimates: readonly ReadyEstimate[];
}

/** Models loaded on replicas, according to the leader. */
export interface HoldingsMessage {
  readonly replicas: readonly ReplicaHoldings[];
}

/** A replica has announced in an answer that it is leaving. */
export interface LeavingMessage {
  readonly replicaId: string;
  /** Start time of the leaving replica. A replica started later under the same id is not leaving. */
  readonly bornMs: number;
}

/** Rate limits that replicas state: of a follower, as it read them; of the leader, those in force or ended. */
export interface RateLimitsMessage {
  readonly limits: readonly RateLimitStatement[];
}

/** A lease operation that a daemon without access to the store asks a peer to carry out. */
export interface LeaseCall {
  readonly call: number;
  /** Absent for a read operation. */
  readonly write?: {
    readonly expectedEnd: number;
    /** Era of the store in which the expected end holds. Absent in calls of earlier versions. */
    readonly era?: number;
    readonly value: string;
  };
}

/** Result of a lease call. */
export interface LeaseReply {
  readonly call: number;
  /** `era` is absent in replies of earlier versions. */
  readonly snapshot?: Omit<LeaseSnapshot, 'era'> & Partial<Pick<LeaseSnapshot, 'era'>>;
  readonly offset?: number;
  readonly failure?: StoreFailure;
}

/** A follower has read the store, which its leader does not reach. */
export type StoreReadMessage = Readonly<Record<string, never>>;

/** Messages by method name. */
export interface PeerMessages {
  readonly report: DaemonReport;
  readonly known: TableOffsets;
  readonly table: TableMessage;
  readonly storeRead: StoreReadMessage;
  readonly holdings: HoldingsMessage;
  readonly status: LeaderStatus;
  readonly loads: LoadsMessage;
  readonly speeds: SpeedsMessage;
  readonly estimates: EstimatesMessage;
  readonly leaving: LeavingMessage;
  readonly rateLimits: RateLimitsMessage;
  readonly permits: PermitMessage;
  readonly quotaAsk: QuotaAsk;
  readonly quotaAnswer: QuotaAnswer;
  readonly crash: CrashReport;
  readonly answeredParts: AnsweredPartsMessage;
  /** Of the leader, what it suspects and blocks; of a daemon that connects, what it knows from an earlier leader. */
  readonly suspects: SuspectsMessage;
  readonly trialRequest: TrialMessage;
  readonly trialGrant: TrialMessage;
  readonly trialEnd: TrialMessage;
  readonly streamOrigins: OriginsMessage;
  readonly originsStored: OriginsStoredMessage;
  readonly streamVersions: VersionsMessage;
  readonly originQuery: OriginQuery;
  readonly originReply: OriginReply;
  readonly leader: LeaderAnnouncement;
  readonly leaseCall: LeaseCall;
  readonly leaseReply: LeaseReply;
}
