import * as vitest from 'vitest';
import { SpeedThrottle } from './SpeedThrottle.js';

vitest.describe('SpeedThrottle', () => {
  vitest.test('sends only what has changed, at intervals (guards against needless traffic to every daemon)', () => {
    const throttle = new SpeedThrottle();
    vitest.expect(throttle.next({ a: 1.5, b: 1.05 }, 0)).toEqual({ a: 1.5 });
    vitest.expect(throttle.next({ a: 2, b: 1.05 }, 500)).toBeUndefined();
    vitest.expect(throttle.next({ a: 1.55, b: 1.05 }, 1_000)).toBeUndefined();
    vitest.expect(throttle.next({ a: 1.9, b: 0.7 }, 2_000)).toEqual({ a: 1.9, b: 0.7 });
    vitest.expect(throttle.sent).toEqual({ a: 1.9, b: 0.7 });
  });

  vitest.test(
    'bounds a message and sends the rest next time (guards against messages that grow with the replicas)',
    () => {
      const throttle = new SpeedThrottle();
      const slowness = Object.fromEntries(Array.from({ length: 100 }, (_, index) => [`r${index}`, 2]));
      vitest.expect(Object.keys(throttle.next(slowness, 0) ?? {})).toHaveLength(64);
      vitest.expect(Object.keys(throttle.next(slowness, 1_000) ?? {})).toHaveLength(36);
    },
  );
});
