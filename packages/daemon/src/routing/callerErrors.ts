/** Errors that callers see. */
import type { CallerError } from './Types.js';

/** An error after which nothing was run. */
export function notExecuted(status: number, type: string, message: string, retryAfterMs?: number): CallerError {
  return { status, type, message, executed: 'no', ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

/** Describes an error of a connection for a caller: by its code, because the message contains internal addresses. */
export function describeError(error: unknown): string {
  if (error instanceof Error) {
    return 'code' in error && typeof error.code === 'string' ? error.code : error.message;
  }
  return 'unknown error';
}
