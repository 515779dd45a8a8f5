import type * as http from 'node:http';
import type { ModelReference, Replica } from '../Types.js';

/** Contents of the headers of a caller's request. */
export interface CallerRequest {
  readonly attemptId: string;
  readonly host: string;
  /** Maximum time that the caller waits, milliseconds. */
  readonly deadlineMs?: number;
  readonly modelReference?: ModelReference;
  /** Last event that the caller has received of a stream that it takes up; absent for a new stream. */
  readonly lastEventId?: string;
  /**
   * Attempt that brought the first event of the stream that the caller takes up; absent if the caller does not name
   * exactly one.
   */
  readonly resumedAttemptId?: string;
  /** Identifiers of the parts of the prompt that other prompts may share, in order. */
  readonly promptPartIds: readonly string[];
  /** Key of the caller's tenant. It must not reach a replica, a log, a metric, an error text or a peer. */
  readonly credential?: string;
  /** True if the request has several keys; `credential` is then absent. */
  readonly hasSeveralCredentials?: boolean;
  /** Prompt tokens plus the largest number of output tokens; absent if the caller does not state them. */
  readonly tokens?: number;
  /** True if the caller states them in a malformed way; `tokens` is then absent. */
  readonly hasMalformedTokens?: boolean;
}

/** Values of the headers that the gateway sets in a request to a replica. */
export interface ForwardingFields {
  readonly replicaId: string;
  readonly deadlineMs: number;
  /** Urgency from 0 (most urgent) to 9. */
  readonly urgency?: number;
  readonly lastEventId?: string;
  readonly bodyBytes: number;
  /** Name of the caller's tenant. */
  readonly tenantName?: string;
}

/** Load that a replica reports in a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at this moment relative to the usual on this replica; absent if the replica does not say. */
  readonly slowness?: number;
}

/** Contents of the head of a replica's response. */
export interface ResponseHead {
  readonly status: number;
  readonly attemptId?: string;
  /** True if the replica states that it has not executed the request. */
  readonly notExecuted: boolean;
  /** True if the response comes from a replica other than the expected one. */
  readonly fromOtherReplica: boolean;
  /** Replica that the response names as its sender; absent if it names none. */
  readonly replicaId?: string;
  readonly load?: ReportedLoad;
  /** True if the replica is leaving and accepts no further requests. */
  readonly leaving: boolean;
  /** Time during which a replica that rejected the request accepts no requests, milliseconds. */
  readonly retryAfterMs?: number;
  /** Requests per second that the replica takes from all daemons together; absent if the response states no limit. */
  readonly rateLimitPerSecond?: number;
  /** True if the response has a content encoding, so that its body is not the one that the replica generated. */
  readonly contentEncoded: boolean;
  /** True if the response carries exactly one signature of the replica. */
  readonly isSigned: boolean;
}

/** A request by which a replica states its start. */
export interface StartQuery {
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
}

/** Translates the headers of requests and responses. */
export abstract class RequestCodec {
  /** Reads a caller's headers; undefined if a required one is missing or malformed. */
  public abstract readRequest(request: http.IncomingMessage): CallerRequest | undefined;

  /** Headers for the replica: those of the caller except connection-specific ones, plus those of the gateway. */
  public abstract forwardedHeaders(request: http.IncomingMessage, fields: ForwardingFields): string[];

  public abstract readResponseHead(response: http.IncomingMessage): ResponseHead;

  /** Headers for the caller: those of the replica except connection-specific ones. */
  public abstract returnedHeaders(response: http.IncomingMessage): string[];

  /** The request by which a replica states its start; undefined if its record does not name one to compare with. */
  public abstract startQuery(replica: Replica): StartQuery | undefined;

  /**
   * Start that the answer to such a request states, Unix milliseconds; infinite if another replica has answered, undefined if
   * none is stated.
   */
  public abstract readStart(status: number, body: string): number | undefined;

  /** Headers of a response that the gateway generates itself. */
  public abstract localResponseHeaders(attemptId: string | undefined, retryAfterMs: number | undefined): string[];
}
