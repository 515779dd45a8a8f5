import type { RevocationSettings } from './Types.js';

/**
 * Share of the time limit for which a stream may continue to its end. The other half is reserved for a busy daemon, whose
 * timers are late.
 */
const graceShare = 0.5;

/** State of a request whose key a new configuration removed. */
export interface RevokedRequest {
  /** True if a replica runs the request or may have run it. */
  readonly hasBegun: boolean;
  readonly isStream: boolean;
}

/** Decision on such a request. */
export type RevocationDecision =
  { readonly kind: 'reject' } | { readonly kind: 'continue' } | { readonly kind: 'end'; readonly atMs: number };

/** Decides on a request whose key a new configuration removed. Load: a tenant with many requests that loses its key. */
export function decideRevocation(
  { hasBegun, isStream }: RevokedRequest,
  { endsStreams, withinMs }: RevocationSettings,
  nowMs: number,
): RevocationDecision {
  if (!hasBegun) {
    return { kind: 'reject' };
  }
  return endsStreams && isStream ? { kind: 'end', atMs: nowMs + withinMs * graceShare } : { kind: 'continue' };
}
