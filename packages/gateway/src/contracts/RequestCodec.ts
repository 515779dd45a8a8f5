import type * as http from 'node:http';
import type { ModelReference } from '../Types.js';

/** What the headers of a caller's request say. */
export interface CallerRequest {
  readonly attemptId: string;
  readonly host: string;
  /** Time that the caller waits, milliseconds. */
  readonly deadlineMs?: number;
  readonly modelReference?: ModelReference;
  /** Identifiers of the shared parts of the prompt, in order. */
  readonly promptParts: readonly string[];
}

/** Headers that the gateway sets on the way to a replica. */
export interface ForwardingFields {
  readonly replicaId: string;
  readonly deadlineMs: number;
  /** Urgency from 0 (first) to 9. */
  readonly urgency?: number;
  readonly lastEventId?: string;
  readonly bodyBytes: number;
}

/** What the head of a replica's answer says. */
export interface ResponseHead {
  readonly status: number;
  readonly attemptId?: string;
  /** The replica states that it has not run the request. */
  readonly notRun: boolean;
  /** The answer comes from another replica than the expected one. */
  readonly fromOtherReplica: boolean;
  readonly load?: { readonly running: number; readonly waiting: number; readonly slots: number };
  /** The replica says that it leaves and takes no further requests. */
  readonly leaving: boolean;
  /** Time for which a replica that turned the request away wants none, milliseconds. */
  readonly retryAfterMs?: number;
  /** The answer is encoded and so not the replica's own body. */
  readonly contentEncoded: boolean;
}

/** Translates the headers of requests and answers. */
export abstract class RequestCodec {
  /** Reads a caller's headers; undefined if a required one is missing or malformed. */
  public abstract readRequest(request: http.IncomingMessage): CallerRequest | undefined;

  /** Headers for the replica: the caller's own without those of the connection, plus the gateway's. */
  public abstract forwardedHeaders(request: http.IncomingMessage, fields: ForwardingFields): string[];

  public abstract readResponseHead(response: http.IncomingMessage): ResponseHead;

  /** Headers for the caller: the replica's own without those of the connection. */
  public abstract returnedHeaders(response: http.IncomingMessage): string[];

  /** Headers of an answer of the gateway's own. */
  public abstract localResponseHeaders(attemptId: string | undefined, retryAfterMs: number | undefined): string[];
}
