/** A replica whose cost rises with the number of its requests. */
export interface FillOption {
  /** Requests on the replica. */
  readonly running: number;
  readonly slots: number;
  /** Cost without any request, milliseconds. */
  readonly fixedMs: number;
  /** Additional cost of a request while slots are free, milliseconds. */
  readonly runningMs: number;
  /** Additional cost of a request in the queue, milliseconds. */
  readonly queuedMs: number;
}

/** Steps of the search for the level; each halves the error, which starts at less than the cost of all requests. */
const searchSteps = 24;

/**
 * Distributes requests over replicas so that the highest cost is as low as possible, and returns the number of requests
 * for each replica. Replicas that are above the resulting level get none.
 */
export function fillToLevel(options: readonly FillOption[], requests: number): number[] {
  let lowMs = Number.POSITIVE_INFINITY;
  let highMs = Number.POSITIVE_INFINITY;
  for (const option of options) {
    lowMs = Math.min(lowMs, costMs(option, option.running));
    highMs = Math.min(highMs, costMs(option, option.running + requests));
  }
  for (let step = 0; step < searchSteps; step += 1) {
    const levelMs = (lowMs + highMs) / 2;
    let filled = 0;
    for (const option of options) {
      filled += requestsBelow(option, levelMs);
    }
    if (filled < requests) {
      lowMs = levelMs;
    } else {
      highMs = levelMs;
    }
  }
  return options.map((option) => requestsBelow(option, highMs));
}

function costMs({ slots, fixedMs, runningMs, queuedMs }: FillOption, running: number): number {
  return fixedMs + runningMs * Math.min(running, slots) + queuedMs * Math.max(running - slots, 0);
}

/** Number of requests that a replica takes before its cost reaches a level. */
function requestsBelow(option: FillOption, levelMs: number): number {
  const { running, slots, fixedMs, runningMs, queuedMs } = option;
  const fullMs = fixedMs + runningMs * slots;
  const total = levelMs < fullMs ? (levelMs - fixedMs) / runningMs : slots + (levelMs - fullMs) / queuedMs;
  return Math.max(total - running, 0);
}
