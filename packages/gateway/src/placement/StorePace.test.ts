import * as vitest from 'vitest';
import { StorePace } from './StorePace.js';

const statedMs = 13_200;

vitest.describe('pace of loads from the weight store', () => {
  vitest.test('falls to what the store sustains (guards against loads that hold replicas for most of a minute)', () => {
    const pace = new StorePace();
    const initial = pace.maximumLoads;
    pace.recordLoad(statedMs, statedMs + 200, 1);
    vitest.expect(pace.maximumLoads).toBe(initial);
    // The store runs one load at full speed; the second one takes twice as long.
    pace.recordLoad(statedMs, 2 * statedMs, 2);
    vitest.expect(pace.maximumLoads).toBe(1);
  });

  vitest.test('stays where several loads run at full speed', () => {
    const pace = new StorePace();
    const initial = pace.maximumLoads;
    for (let loads = 1; loads <= initial; loads += 1) {
      pace.recordLoad(statedMs, statedMs, loads);
    }
    vitest.expect(pace.maximumLoads).toBe(initial);
  });
});
