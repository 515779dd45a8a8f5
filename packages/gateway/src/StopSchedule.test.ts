import * as vitest from 'vitest';
import { StopSchedule } from './StopSchedule.js';

vitest.describe('stop of a daemon', () => {
  vitest.test(
    'accepts only requests that end before the stop limit (guards against requests cut off by the stop)',
    () => {
      const schedule = new StopSchedule(7_000);
      vitest.expect(schedule.longestRequestMs(500)).toBe(Number.POSITIVE_INFINITY);
      schedule.start(1_000);
      vitest.expect(schedule.longestRequestMs(3_500)).toBe(Number.POSITIVE_INFINITY);
      vitest.expect(schedule.longestRequestMs(4_000)).toBe(4_000);
      vitest.expect(schedule.longestRequestMs(7_900)).toBe(100);
    },
  );

  vitest.test('accepts nothing once it has ended (guards against a payment cut off by the end of the process)', () => {
    const schedule = new StopSchedule(7_000);
    schedule.start(1_000);
    schedule.end();
    vitest.expect(schedule.longestRequestMs(4_000)).toBe(0);
  });

  vitest.test('waits until the balancer has removed the daemon and the requests have ended, within the limit', () => {
    const schedule = new StopSchedule(7_000);
    schedule.start(1_000);
    vitest.expect(schedule.shouldWait(0, 3_000)).toBe(true);
    vitest.expect(schedule.shouldWait(0, 4_000)).toBe(false);
    vitest.expect(schedule.shouldWait(1, 7_900)).toBe(true);
    vitest.expect(schedule.shouldWait(1, 8_000)).toBe(false);
  });

  vitest.test('counts from the first of several signals (guards against a stop past the limit)', () => {
    const schedule = new StopSchedule(7_000);
    schedule.start(1_000);
    schedule.start(5_000);
    vitest.expect(schedule.shouldWait(1, 8_000)).toBe(false);
  });
});
