/** Validation of the request headers that callers may set. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import { notExecuted } from '../routing/callerErrors.js';
import type { CallerError } from '../routing/Types.js';

/** Smallest deadline that a caller may set, milliseconds. */
const minimumDeadlineMs = 1;
const requestIdPattern = /^[A-Za-z0-9._:-]{1,128}$/;

/** Values of the request headers. */
export interface RequestHeaders {
  readonly urgency: common.Urgency | undefined;
  readonly deadlineMs: number | undefined;
}

/** Creates a request id for a caller that sent none. */
export function newRequestId(): string {
  return `req-${crypto.randomUUID()}`;
}

/** Returns the caller's request id, a new one if there is none, or undefined if it is malformed. */
export function readRequestId(headers: http.IncomingHttpHeaders): string | undefined {
  const value = headers['x-request-id'];
  if (value === undefined) {
    return newRequestId();
  }
  return typeof value === 'string' && requestIdPattern.test(value) ? value : undefined;
}

/** Parses `X-Priority` and `X-Deadline-Ms`. */
export function readRequestHeaders(
  headers: http.IncomingHttpHeaders,
  maximumDeadlineMs: number,
): common.Outcome<RequestHeaders, CallerError> {
  const priority = headers['x-priority'];
  if (priority !== undefined && priority !== 'interactive' && priority !== 'batch') {
    return common.fail(notExecuted(400, 'invalid_header', 'X-Priority must be "interactive" or "batch"'));
  }
  const deadline = headers['x-deadline-ms'];
  if (deadline === undefined) {
    return common.succeed({ urgency: priority, deadlineMs: undefined });
  }
  const deadlineMs = typeof deadline === 'string' && /^\d{1,10}$/.test(deadline) ? Number(deadline) : 0;
  if (deadlineMs < minimumDeadlineMs || deadlineMs > maximumDeadlineMs) {
    const message = `X-Deadline-Ms must be a whole number from ${minimumDeadlineMs} to ${maximumDeadlineMs}`;
    return common.fail(notExecuted(400, 'invalid_header', message));
  }
  return common.succeed({ urgency: priority, deadlineMs });
}
