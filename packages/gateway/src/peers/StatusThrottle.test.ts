import * as vitest from 'vitest';
import { StatusThrottle } from './StatusThrottle.js';
import type { LeaderStatus } from './Types.js';

const heartbeatMs = 300;
const ends = { configuration: 1, replicas: 1 };
const status: LeaderStatus = { leads: true, tellsChanges: true, daemonCount: 3, ends };

vitest.describe('pace of the status', () => {
  vitest.test('sends what changes all the time only at intervals (guards against bytes to every daemon)', () => {
    const throttle = new StatusThrottle();
    const later = { ...status, ends: { ...ends, replicas: 9 } };
    vitest.expect(throttle.next(status, heartbeatMs, 0)).toEqual(status);
    vitest.expect(throttle.next(later, heartbeatMs, 100)).toBeUndefined();
    vitest.expect(throttle.next(later, heartbeatMs, 300)).toEqual(later);
  });

  vitest.test('sends everything else at once (guards against late words of a lost store)', () => {
    for (const change of [{ leads: false }, { tellsChanges: false }, { daemonCount: 2 }]) {
      const throttle = new StatusThrottle();
      throttle.next(status, heartbeatMs, 0);
      vitest.expect(throttle.next({ ...status, ...change }, heartbeatMs, 100)).toEqual({ ...status, ...change });
      vitest.expect(throttle.next({ ...status, ...change }, heartbeatMs, 200)).toBeUndefined();
    }
  });
});
