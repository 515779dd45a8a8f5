import * as vitest from 'vitest';
import { StatusThrottle } from './StatusThrottle.js';
import type { LeaderStatus } from './Types.js';

const heartbeatMs = 300;
const ends = { configuration: 1, replicas: 1 };
const status: LeaderStatus = { leads: true, tellsChanges: true, daemonCount: 3, ends };

vitest.describe('status throttle', () => {
  vitest.test('sends changed offsets only at intervals (guards against needless traffic to every daemon)', () => {
    const throttle = new StatusThrottle();
    const later = { ...status, ends: { ...ends, replicas: 9 } };
    vitest.expect(throttle.next(status, heartbeatMs, 0)).toEqual(status);
    vitest.expect(throttle.next(later, heartbeatMs, 100)).toBeUndefined();
    vitest.expect(throttle.next(later, heartbeatMs, 300)).toEqual(later);
  });

  vitest.test('sends every other change at once (guards against late notice of an unreachable store)', () => {
    for (const change of [{ leads: false }, { tellsChanges: false }, { daemonCount: 2 }]) {
      const throttle = new StatusThrottle();
      throttle.next(status, heartbeatMs, 0);
      vitest.expect(throttle.next({ ...status, ...change }, heartbeatMs, 100)).toEqual({ ...status, ...change });
      vitest.expect(throttle.next({ ...status, ...change }, heartbeatMs, 200)).toBeUndefined();
    }
  });
});
