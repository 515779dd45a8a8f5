/** Errors reported to callers. */
import type { CallerError } from './Types.js';

/** Creates an error of a request that was not executed. */
export function notExecuted(status: number, type: string, message: string, retryAfterMs?: number): CallerError {
  return { status, type, message, executed: 'no', ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

/** Describes a connection error to a caller by its code, because the message contains internal addresses. */
export function describeError(error: unknown): string {
  if (error instanceof Error) {
    return 'code' in error && typeof error.code === 'string' ? error.code : error.message;
  }
  return 'unknown error';
}
