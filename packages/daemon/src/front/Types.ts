import type * as http from 'node:http';
import type * as common from '@jayhaven/common';
import type { Credential } from '../Types.js';

/** A caller's request after its headers were checked. */
export interface CallerRequest {
  readonly incoming: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly caller: Credential;
  /** Id that the caller sees; callers may send the same one twice. */
  readonly requestId: string;
  /** Unique id inside this system; base of the ids that engines get. */
  readonly requestKey: string;
  /** Path without the query string. */
  readonly path: string;
  /** Query string with its question mark, or empty. */
  readonly query: string;
  /** Urgency that the caller asked for. */
  readonly urgency: common.Urgency | undefined;
  /** Time limit that the caller asked for, milliseconds. */
  readonly deadlineMs: number | undefined;
  /** Monotonic time of arrival. */
  readonly arrivedMs: number;
}

/** A parsed completion request. */
export interface CompletionBody {
  readonly raw: Buffer;
  readonly fields: Readonly<Record<string, unknown>>;
  readonly model: string;
  readonly stream: boolean;
  /** Beginning of the prompt, for prefix affinity. */
  readonly promptPrefix: string;
}
