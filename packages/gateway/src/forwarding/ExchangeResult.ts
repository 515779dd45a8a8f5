import type { ModelReference } from '../Types.js';
import type { ReturnKind, WaitReason } from '../waiting/WaitingMetrics.js';
import type { SendRecord } from './SendLog.js';

/** What was known of a request whose answer broke off. */
export interface BrokenAnswer {
  /** Identifiers of the prompt's parts, in order; a limited number. */
  readonly promptPartIds: readonly string[];
  /** Stands for the content of the request: equal in the lines of requests with the same content. */
  readonly requestPart: string;
  readonly receivedBytes: number;
}

/** Result of an exchange for the request log and the metrics. */
export interface ExchangeResult {
  readonly attemptId: string | undefined;
  readonly route: string | undefined;
  /** Name of the caller's tenant. */
  readonly tenant: string | undefined;
  readonly configurationVersion: number | undefined;
  readonly target: ModelReference | undefined;
  readonly outcome:
    | 'delivered'
    | 'replicaFailure'
    | 'refused'
    | 'timedOut'
    | 'broken'
    | 'callerLeft'
    | 'invalidRequest'
    | 'noRoute'
    | 'unauthorized';
  readonly status: number | undefined;
  /** Replicas that the request was sent to, in order. */
  readonly replicas: readonly string[];
  /** Software versions of these replicas when the request was sent to them. */
  readonly softwareVersions: readonly string[];
  /** Attempt that began the stream, if the caller takes up a broken one and names it. */
  readonly resumedAttemptId: string | undefined;
  /** Last event that the caller has received, if it takes up a broken stream. */
  readonly lastEventId: string | undefined;
  /** The last of these sends, with their connections and what the replicas stated. */
  readonly sends: readonly Readonly<SendRecord>[];
  /** Rate limit of the last of these replicas when the request was sent to it, requests per second. */
  readonly rateLimitPerSecond: number | undefined;
  readonly waitedMs: number;
  /** What the request waited for last, if it waited. */
  readonly waitedFor: WaitReason | undefined;
  readonly durationMs: number;
  /** Time until the first event of a stream, or the first part of any other answer, was passed on, milliseconds. */
  readonly firstPartMs: number | undefined;
  /** Longest pause between two parts of the answer, milliseconds. */
  readonly longestGapMs: number | undefined;
  readonly reason: string | undefined;
  /** Parts of the prompt and bytes received of the answer, if the answer broke off. */
  readonly brokenAnswer: BrokenAnswer | undefined;
  /** Parts of the prompt for which the request was refused. */
  readonly blockedParts: readonly string[] | undefined;
  /** Expected time until the model is ready, if a refusal is based on it. */
  readonly readyInMs: number | undefined;
  readonly retryAfterMs: number | undefined;
  /** What the refused caller returns to, if its time to return depends on the capacity. */
  readonly returnsTo: ReturnKind | undefined;
}
