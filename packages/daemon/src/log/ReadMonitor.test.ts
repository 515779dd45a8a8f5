import * as vitest from 'vitest';
import { ReadMonitor } from './ReadMonitor.js';

const pollWaitMs = 1_000;
const limitMs = 5_000;

vitest.describe('ReadMonitor', () => {
  vitest.test('gives up a first poll soon, and waits longer for a slow log (guards against long outages)', () => {
    const monitor = new ReadMonitor(pollWaitMs, 0);
    let nowMs = 0;
    const timeoutsMs = [1, 2, 3, 4].map(() => {
      const timeoutMs = monitor.responseTimeoutMs(limitMs);
      monitor.pollStarted(nowMs);
      nowMs += pollWaitMs + timeoutMs;
      monitor.pollFailed(nowMs);
      return timeoutMs;
    });
    vitest.expect(timeoutsMs).toEqual([1_500, 3_000, 5_000, 5_000]);
    vitest.expect(monitor.isDown).toBe(true);
    monitor.pollSucceeded();
    vitest.expect(monitor.responseTimeoutMs(limitMs)).toBe(1_500);
  });

  vitest.test('does not wait longer after a quick failure (guards against long outages)', () => {
    const monitor = new ReadMonitor(pollWaitMs, 0);
    monitor.pollFailed(10);
    vitest.expect(monitor.responseTimeoutMs(limitMs)).toBe(1_500);
  });
});
