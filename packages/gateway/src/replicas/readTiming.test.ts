import * as vitest from 'vitest';
import { messageIntervals } from '../peers/messageIntervals.js';
import { readTiming } from './TableSynchronizer.js';

vitest.describe('timing of reads of the store', () => {
  vitest.test('bounds the calls of all daemons (guards against hundreds of VMs that poll instead of one)', () => {
    const callsPerSecond = (daemonCount: number, leader: 'current' | 'cutOff' | 'unheard'): number => {
      const { intervalMs } = readTiming({ leader, hasFollowers: false, intervals: messageIntervals(daemonCount) });
      return (daemonCount * 1_000) / intervalMs;
    };
    vitest.expect(callsPerSecond(9, 'cutOff')).toBeGreaterThan(20);
    vitest.expect(callsPerSecond(430, 'cutOff')).toBeLessThan(150);
    vitest.expect(callsPerSecond(430, 'current')).toBeLessThan(15);
    vitest.expect(callsPerSecond(430, 'unheard')).toBeLessThan(250);
  });

  vitest.test('spreads the reads that followers share (guards against daemons that read together and then not)', () => {
    const intervals = messageIntervals(76);
    const isSpread = (leader: 'current' | 'cutOff' | 'unheard'): boolean =>
      readTiming({ leader, hasFollowers: false, intervals }).isSpread;
    vitest.expect(isSpread('cutOff')).toBe(true);
    vitest.expect(isSpread('unheard')).toBe(false);
  });

  vitest.test('reads frequently while there are followers (guards against a late configuration everywhere)', () => {
    const timing = readTiming({ leader: 'unheard', hasFollowers: true, intervals: messageIntervals(430) });
    vitest.expect(timing.waitMs + timing.intervalMs).toBeLessThan(1_000);
  });

  vitest.test(
    'reads frequently although the followed daemon does (guards against two daemons that rely on each other)',
    () => {
      const timing = readTiming({ leader: 'current', hasFollowers: true, intervals: messageIntervals(430) });
      vitest.expect(timing.waitMs + timing.intervalMs).toBeLessThan(1_000);
    },
  );

  vitest.test(
    'reads the store every 3 s or sooner in the mean at any size (guards against a late configuration)',
    () => {
      for (const daemonCount of [1, 9, 64, 195, 430]) {
        const { intervalMs } = readTiming({
          leader: 'cutOff',
          hasFollowers: false,
          intervals: messageIntervals(daemonCount),
        });
        vitest.expect(intervalMs).toBeLessThanOrEqual(3_000);
      }
    },
  );
});
