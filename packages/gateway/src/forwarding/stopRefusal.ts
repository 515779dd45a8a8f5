import type { LocalResponse } from './admitRequest.js';

/** Retry-After while this daemon is stopping, milliseconds. The retry goes to another daemon. */
const stoppingRetryAfterMs = 50;

/** Refusal of a request that would outlast a daemon that stops. */
export const stopRefusal = {
  status: 503,
  outcome: 'refused',
  reason: 'this daemon stops',
  retryAfterMs: stoppingRetryAfterMs,
} as const satisfies LocalResponse;
