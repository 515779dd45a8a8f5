import * as vitest from 'vitest';
import { StoreLoadLimiter } from './StoreLoadLimiter.js';

const shortLoadMs = 6_000;
const longLoadMs = 13_200;

vitest.describe('limit of concurrent loads from the weight store', () => {
  vitest.test('drops to what the store sustains (guards against loads that block replicas for nearly a minute)', () => {
    const limiter = new StoreLoadLimiter();
    limiter.recordLoad(shortLoadMs, shortLoadMs + 200, 1);
    vitest.expect(limiter.maximumLoads(shortLoadMs)).toBe(4);
    // The store runs one load at full speed; the second one takes twice as long.
    limiter.recordLoad(shortLoadMs, 2 * shortLoadMs, 2);
    vitest.expect(limiter.maximumLoads(shortLoadMs)).toBe(1);
  });

  vitest.test(
    'allows a single long load at first (guards against a store busy with outdated loads when demand shifts)',
    () => {
      vitest.expect(new StoreLoadLimiter().maximumLoads(longLoadMs)).toBe(1);
    },
  );

  vitest.test('stays unchanged while concurrent loads run at full speed', () => {
    const limiter = new StoreLoadLimiter();
    for (const loads of [1, 2, 3, 4]) {
      limiter.recordLoad(shortLoadMs, shortLoadMs, loads);
    }
    vitest.expect(limiter.maximumLoads(shortLoadMs)).toBe(4);
  });
});
