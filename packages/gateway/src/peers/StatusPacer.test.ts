import * as vitest from 'vitest';
import { StatusPacer } from './StatusPacer.js';
import type { LeaderStatus } from './Types.js';

const status: LeaderStatus = { leads: true, tellsChanges: true, daemonCount: 3, running: { r1: 4 }, estimates: [] };

vitest.describe('pace of the status', () => {
  vitest.test('sends counts of requests a few times a second (guards against bytes to every daemon)', () => {
    const pacer = new StatusPacer();
    vitest.expect(pacer.next(status, 0)).toEqual(status);
    vitest.expect(pacer.next({ ...status, running: { r1: 5 } }, 100)).toBeUndefined();
    vitest.expect(pacer.next({ ...status, running: { r1: 6 } }, 300)).toMatchObject({ running: { r1: 6 } });
  });

  vitest.test('sends everything else at once (guards against late words of a lost store or a new load)', () => {
    const estimates = [{ model: 'm', readyInMs: 900 }];
    for (const change of [{ leads: false }, { tellsChanges: false }, { daemonCount: 2 }, { estimates }]) {
      const pacer = new StatusPacer();
      pacer.next(status, 0);
      vitest.expect(pacer.next({ ...status, ...change }, 100)).toEqual({ ...status, ...change, running: {} });
      vitest.expect(pacer.next({ ...status, ...change }, 200)).toBeUndefined();
    }
  });

  vitest.test('sends an estimate again once it has moved', () => {
    const pacer = new StatusPacer();
    pacer.next({ ...status, estimates: [{ model: 'm', readyInMs: 900 }] }, 0);
    vitest.expect(pacer.next({ ...status, estimates: [{ model: 'm', readyInMs: 800 }] }, 100)).toBeUndefined();
    vitest.expect(pacer.next({ ...status, estimates: [{ model: 'm', readyInMs: 700 }] }, 200)).toBeDefined();
  });
});
