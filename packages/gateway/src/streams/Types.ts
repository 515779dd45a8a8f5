/** Where a stream began: the attempt that brought its first event, and the software version of the replica. */
export interface StreamOrigin {
  readonly attemptId: string;
  readonly service: string;
  readonly version: string;
}

/** Origins with the same service and version. */
export interface OriginGroup {
  readonly service: string;
  readonly version: string;
  readonly attemptIds: readonly string[];
}

/** What is known of the stream that a caller takes up. */
export type OriginAnswer = { readonly kind: 'known'; readonly version: string } | { readonly kind: 'unknown' };

/** Software versions by service. */
export type ServiceVersions = Readonly<Record<string, readonly string[]>>;

/** Versions by service, and the versions at which streams without a record began, of services with several. */
export interface HistoryVersions {
  readonly versions: ServiceVersions;
  /** Absent for a service where that is not certain. */
  readonly bases?: Readonly<Record<string, string>>;
}

/** Knowledge of where streams began, over all daemons. */
export interface StreamOrigins {
  /** Records where a stream began that a caller takes up. */
  record(origin: StreamOrigin): void;
  /**
   * Records that a stream begins. Calls `onStored` once its first event may be passed on: as soon as the origin outlives the
   * loss of all daemons, or after a limited time; at once if it needs no record. Calls `onFailed` in its place if the origin
   * must be stored and could not be in time.
   */
  begin(origin: StreamOrigin, onStored: () => void, onFailed: () => void): void;
  /** True if a stream may begin at a software version of a service. */
  mayBegin(service: string, version: string): boolean;
  /** Finds out where a stream began; the answer may come at once. The result ends the search. */
  findOrigin(query: OriginQuery, listener: (answer: OriginAnswer) => void): () => void;
}

/** Origins that a daemon reports to the leader. */
export interface OriginsMessage {
  /** Number of the message on its connection, from 1. */
  readonly sequence: number;
  readonly groups: readonly OriginGroup[];
}

/** Of the leader: the origins of messages up to this one are stored. */
export interface OriginsStoredMessage {
  readonly sequence: number;
}

/** Of the leader: the versions at which streams may begin, and the services whose origins it wants. */
export interface VersionsMessage extends HistoryVersions {
  /** Number of the sender's leadership. What it received in an earlier one, or between two, may be lost. */
  readonly term?: number;
  readonly recorded: readonly string[];
}

/** A daemon asks the leader where a stream began. */
export interface OriginQuery {
  readonly service: string;
  /** Absent if the caller does not name the attempt that began the stream. */
  readonly attemptId?: string;
}

/** Answer of the leader to a query. */
export interface OriginReply extends OriginQuery {
  /** Absent if the leader does not know it. */
  readonly version?: string;
}
