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

/** Knowledge of where streams began, over all daemons. */
export interface StreamOrigins {
  /** Records where a stream began. */
  record(origin: StreamOrigin): void;
  /** True if a stream may begin at a software version of a service. */
  mayBegin(service: string, version: string): boolean;
  /** Finds out where a stream began; the answer may come at once. The result ends the search. */
  findOrigin(query: OriginQuery, listener: (answer: OriginAnswer) => void): () => void;
}

/** Origins that a daemon reports to the leader. */
export interface OriginsMessage {
  readonly groups: readonly OriginGroup[];
}

/** Of the leader: the versions at which streams may begin, and the services whose origins it wants. */
export interface VersionsMessage {
  readonly versions: ServiceVersions;
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
