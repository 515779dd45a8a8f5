import * as vitest from 'vitest';
import { LoadThrottle } from './LoadThrottle.js';

const intervalMs = 300;

vitest.describe('load throttle', () => {
  vitest.test('sends only changed loads, at intervals (guards against needless traffic to every daemon)', () => {
    const throttle = new LoadThrottle();
    const first = new Map([
      ['r1', 4],
      ['r2', 1],
    ]);
    vitest.expect(throttle.next(first, intervalMs, 0)).toEqual({ running: { r1: 4, r2: 1 } });
    vitest.expect(throttle.next(new Map(), intervalMs, 100)).toBeUndefined();
    vitest.expect(throttle.next(first, intervalMs, 300)).toBeUndefined();
    vitest.expect(throttle.next(new Map([['r1', 6]]), intervalMs, 600)).toEqual({ running: { r1: 6, r2: 0 } });
  });

  vitest.test('sends idle replicas once (guards against loads of a former leader that stay for ever)', () => {
    const throttle = new LoadThrottle();
    const running = new Map([
      ['busy', 3],
      ['idle', 0],
    ]);
    vitest.expect(throttle.next(running, intervalMs, 0)).toEqual({ running: { busy: 3, idle: 0 } });
    vitest.expect(throttle.next(running, intervalMs, 300)).toBeUndefined();
    vitest.expect(throttle.sent).toEqual({ running: { busy: 3, idle: 0 } });
    throttle.reset();
    vitest.expect(throttle.next(running, intervalMs, 600)).toEqual({ running: { busy: 3, idle: 0 } });
  });

  vitest.test('bounds a message and sends the rest later (guards against traffic that grows with the replicas)', () => {
    const throttle = new LoadThrottle();
    const running = new Map(Array.from({ length: 1_600 }, (_none, index) => [`r${index}`, index + 1] as const));
    const sentReplicas = new Set<string>();
    for (let step = 0; step < 25; step += 1) {
      const message = throttle.next(running, intervalMs, step * intervalMs);
      const ids = Object.keys(message?.running ?? {});
      vitest.expect(ids.length).toBeLessThanOrEqual(64);
      ids.forEach((id) => sentReplicas.add(id));
    }
    vitest.expect(sentReplicas.size).toBe(1_600);
  });
});
