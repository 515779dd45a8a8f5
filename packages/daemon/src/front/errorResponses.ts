/** Error responses to callers. */
import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import type { CallerError } from '../routing/Types.js';

/** Builds the body of an error response. */
export function errorBody(error: CallerError, requestId: string): common.ErrorBody {
  return {
    error: {
      type: error.type,
      message: error.message,
      executed: error.executed,
      ...(error.retryAfterMs === undefined ? {} : { retryAfterMs: Math.ceil(error.retryAfterMs) }),
      requestId,
    },
  };
}

/** Builds the headers of an error response, with `Retry-After` in whole seconds. */
export function errorHeaders(error: CallerError, requestId: string): Record<string, string> {
  return {
    'x-request-id': requestId,
    ...(error.retryAfterMs === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(error.retryAfterMs / 1000))) }),
  };
}

/** Sends an error response unless the headers of another response were already sent. Returns whether it was sent. */
export function sendError(response: http.ServerResponse, error: CallerError, requestId: string): boolean {
  if (response.headersSent || response.destroyed) {
    return false;
  }
  common.sendJson(response, error.status, errorBody(error, requestId), errorHeaders(error, requestId));
  return true;
}
