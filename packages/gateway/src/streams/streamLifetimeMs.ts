import type { Configuration } from '../Types.js';

/** Attempts over which a caller receives one stream: the first, and three that take it up. */
const attemptsPerStream = 4;
/** Lifetime of streams while no configuration is known, and the least one, milliseconds. */
const minimumLifetimeMs = 60_000;

/** Longest time from the first event of a stream until its caller takes it up for the last time, milliseconds. */
export function streamLifetimeMs(configuration: Configuration | undefined): number {
  const timeoutsMs = (configuration?.routes ?? []).filter(({ resumable }) => resumable).map((route) => route.timeoutMs);
  return Math.max(minimumLifetimeMs, ...timeoutsMs.map((timeoutMs) => timeoutMs * attemptsPerStream));
}
