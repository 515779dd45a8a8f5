/** A request that a replica had not answered when it ended. */
export interface UnansweredRequest {
  /** The prompt's parts that can be the cause, in order, and the part that stands for the whole request. */
  readonly parts: readonly string[];
  /** True if the request was sent as a trial of suspected parts. */
  readonly isTrial: boolean;
}

/** Report of a daemon that a replica ended while it worked on requests of the daemon. */
export interface CrashReport {
  readonly replicaId: string;
  /** Start time of the replica that ended, milliseconds since 1970. */
  readonly bornMs: number;
  /** Time since the daemon lost its connections to the replica, milliseconds. */
  readonly ageMs: number;
  readonly requests: readonly UnansweredRequest[];
}

/** Time since a request with a part was answered, milliseconds. */
export interface AnsweredPart {
  readonly part: string;
  readonly ageMs: number;
}

/** Parts of prompts that were answered on a replica that went on. */
export interface AnsweredPartsMessage {
  readonly parts: readonly AnsweredPart[];
}

/** A part that is suspected of ending replicas. `rounds` is 0 if it is no longer suspected. */
export interface SuspectedPart {
  readonly part: string;
  /** Crashes in a row, counted as in `CrashLedger`, without an answer in between. */
  readonly rounds: number;
}

/** Requests whose prompts have all of the parts are refused. */
export interface PartBlock {
  readonly parts: readonly string[];
  /** Time until the next trial, milliseconds. */
  readonly leftMs: number;
  /** How often the parts have been blocked in a row; each time doubles the duration. */
  readonly repetition: number;
}

/** The leader's view of parts. */
export interface SuspectsMessage {
  /** True if parts that are left out are neither suspected nor blocked; false for changes. */
  readonly whole: boolean;
  readonly suspects: readonly SuspectedPart[];
  readonly blocks: readonly PartBlock[];
  /** Keys of the blocks that have ended. */
  readonly lifted: readonly string[];
}

/** Suspected parts of a request that is to be tried, or whose trial has ended. */
export interface TrialMessage {
  readonly parts: readonly string[];
}

/** What the daemon knows of the parts of a request. */
export type PartVerdict =
  | { readonly kind: 'free' }
  /** A request with these parts is sent only as a trial. */
  | { readonly kind: 'suspected'; readonly parts: readonly string[] }
  | { readonly kind: 'blocked'; readonly parts: readonly string[]; readonly leftMs: number };
