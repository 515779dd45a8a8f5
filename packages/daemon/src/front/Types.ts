import type * as http from 'node:http';
import type * as common from '@jayhaven/common';
import type { Credential } from '../Types.js';
import type { DrainEnd } from './DrainEnd.js';

/** A caller's request after its headers were checked. */
export interface CallerRequest {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly caller: Credential;
  /** Request id sent to the caller. It need not be unique, because callers may choose it. */
  readonly requestId: string;
  /** Unique internal id; prefix of the ids sent to engines. */
  readonly requestKey: string;
  /** Path without the query string. */
  readonly path: string;
  /** Query string with its leading question mark, or an empty string. */
  readonly query: string;
  /** Urgency requested by the caller. */
  readonly urgency: common.Urgency | undefined;
  /** Time limit requested by the caller, milliseconds. */
  readonly deadlineMs: number | undefined;
  /** Monotonic time of arrival. */
  readonly arrivedMs: number;
  readonly drainEnd: DrainEnd;
}

/** A parsed completion request. */
export interface CompletionBody {
  readonly raw: Buffer;
  readonly fields: Readonly<Record<string, unknown>>;
  readonly model: string;
  readonly stream: boolean;
  /** Prefix of the prompt, for prefix affinity. */
  readonly promptPrefix: string;
}
