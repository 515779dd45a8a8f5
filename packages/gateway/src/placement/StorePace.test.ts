import * as vitest from 'vitest';
import { StorePace } from './StorePace.js';

const longLoadMs = 13_200;
const shortLoadMs = 6_000;

function ended(statedMs: number, takenMs: number, loadsAtOnce: number): Parameters<StorePace['recordLoad']>[0] {
  return { statedMs, takenMs, loadsAtOnce, hasEnded: true };
}

vitest.describe('pace of loads from the weight store', () => {
  vitest.test('falls to what the store sustains (guards against loads that hold replicas for most of a minute)', () => {
    const pace = new StorePace();
    pace.recordLoad(ended(longLoadMs, longLoadMs + 200, 1));
    vitest.expect(pace.triedLoads(longLoadMs)).toBe(2);
    // The store runs one load at full speed; the second one takes twice as long.
    pace.recordLoad({ ...ended(longLoadMs, 1.4 * longLoadMs, 2), hasEnded: false });
    vitest.expect(pace.triedLoads(longLoadMs)).toBe(1);
  });

  vitest.test('starts a single long load blindly (guards against a store that is busy when demand moves)', () => {
    vitest.expect(new StorePace().maximumLoads(longLoadMs)).toBe(1);
    vitest.expect(new StorePace().maximumLoads(shortLoadMs)).toBe(4);
  });

  vitest.test('rises where several loads run at full speed', () => {
    const pace = new StorePace();
    for (const loads of [1, 2, 4]) {
      pace.recordLoad(ended(longLoadMs, longLoadMs, loads));
      vitest.expect(pace.maximumLoads(longLoadMs)).toBe(loads);
      vitest.expect(pace.triedLoads(longLoadMs)).toBe(Math.min(2 * loads, 4));
    }
  });

  vitest.test('does not rise for a load that is still under way', () => {
    const pace = new StorePace();
    pace.recordLoad({ ...ended(longLoadMs, longLoadMs, 2), hasEnded: false });
    vitest.expect(pace.maximumLoads(longLoadMs)).toBe(1);
  });
});
