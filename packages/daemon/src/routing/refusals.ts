/** Errors that callers see. */
import type { CallerError } from './Types.js';

/** An error after which nothing was run. */
export function notRun(status: number, type: string, message: string, retryAfterMs?: number): CallerError {
  return { status, type, message, executed: 'no', ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}
