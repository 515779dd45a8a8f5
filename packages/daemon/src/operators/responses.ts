import type * as common from '@jayhaven/common';
import type { OperatorResponse } from './Types.js';

/** Optional members of an error response. */
export interface ErrorResponseOptions {
  readonly executed?: common.Executed;
  readonly retryAfterMs?: number;
  /** Further members of the body, in addition to `error`. */
  readonly extra?: Readonly<Record<string, unknown>>;
  readonly headers?: Readonly<Record<string, string>>;
}

/** A successful response. */
export function okResponse(body: unknown): OperatorResponse {
  return { status: 200, body };
}

/** A response with an `ErrorBody`; `Retry-After` is rounded up to whole seconds. */
export function errorResponse(
  status: number,
  type: string,
  message: string,
  options: ErrorResponseOptions = {},
): OperatorResponse {
  const { executed = 'no', retryAfterMs, extra, headers } = options;
  const body: common.ErrorBody = {
    error: { type, message, executed, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) },
  };
  const retryHeaders =
    retryAfterMs === undefined ? {} : { 'retry-after': String(Math.max(1, Math.ceil(retryAfterMs / 1000))) };
  return { status, body: { ...body, ...extra }, headers: { ...headers, ...retryHeaders } };
}
