import type { PlacedRateLimit, PlacedReplica } from './Types.js';

/** Mean time that a request occupies a slot, milliseconds. */
const meanRunMs = 1_000;
/** A replica whose requests wait longer than this for permits does not count as a copy of its models, milliseconds. */
const maximumBacklogMs = 500;

/** Number of slots that a replica can keep occupied: its rate limit times the mean run time, at most its own slots. */
export function rateLimitedSlots(slots: number, rateLimit: PlacedRateLimit | undefined): number {
  return rateLimit === undefined
    ? slots
    : Math.min(slots, Math.max(Math.ceil((rateLimit.perSecond * meanRunMs) / 1_000), 1));
}

/** True if the requests for a replica exceed its rate limit, so that its models are needed elsewhere. */
export function exceedsRateLimit({ rateLimit }: Pick<PlacedReplica, 'rateLimit'>): boolean {
  return rateLimit !== undefined && rateLimit.backlogMs > maximumBacklogMs;
}
