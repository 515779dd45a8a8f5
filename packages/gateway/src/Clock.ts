import type { Instant } from './Types.js';

/** Source of the current time. Tests replace it. */
export interface Clock {
  now(): Instant;
}

/** Clock of the operating system. */
export const systemClock: Clock = {
  now: () => ({ steadyMs: performance.now(), wallMs: Date.now() }),
};
