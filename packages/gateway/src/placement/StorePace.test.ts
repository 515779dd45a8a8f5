import * as vitest from 'vitest';
import { StorePace } from './StorePace.js';

const shortLoadMs = 6_000;
const longLoadMs = 13_200;

vitest.describe('pace of loads from the weight store', () => {
  vitest.test('falls to what the store sustains (guards against loads that hold replicas for most of a minute)', () => {
    const pace = new StorePace();
    pace.recordLoad(shortLoadMs, shortLoadMs + 200, 1);
    vitest.expect(pace.maximumLoads(shortLoadMs)).toBe(4);
    // The store runs one load at full speed; the second one takes twice as long.
    pace.recordLoad(shortLoadMs, 2 * shortLoadMs, 2);
    vitest.expect(pace.maximumLoads(shortLoadMs)).toBe(1);
  });

  vitest.test(
    'starts a single long load (guards against a store that is busy with old wishes when demand moves)',
    () => {
      vitest.expect(new StorePace().maximumLoads(longLoadMs)).toBe(1);
    },
  );

  vitest.test('stays where several loads run at full speed', () => {
    const pace = new StorePace();
    for (const loads of [1, 2, 3, 4]) {
      pace.recordLoad(shortLoadMs, shortLoadMs, loads);
    }
    vitest.expect(pace.maximumLoads(shortLoadMs)).toBe(4);
  });
});
