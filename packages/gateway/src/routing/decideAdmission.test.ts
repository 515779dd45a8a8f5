import * as vitest from 'vitest';
import { decideAdmission } from './decideAdmission.js';

const slots = 12;
const runMs = 1_200;
const firstByteTimeLeftMs = 2_000;

/** Plays requests at a steady rate on one replica whose queue serves in order; returns the share that is served in time. */
function servedShare(ratePerSecond: number, admits: (running: number) => boolean): number {
  const startsMs: number[] = [];
  const busyUntilMs = Array.from({ length: slots }, () => 0);
  let served = 0;
  const total = ratePerSecond * 60;
  for (let index = 0; index < total; index += 1) {
    const nowMs = (index * 1_000) / ratePerSecond;
    const waiting = startsMs.filter((startMs) => startMs > nowMs).length;
    const running = busyUntilMs.filter((untilMs) => untilMs > nowMs).length;
    if (!admits(Math.min(running, slots) + waiting)) {
      continue;
    }
    busyUntilMs.sort((first, second) => first - second);
    const startMs = Math.max(busyUntilMs[0] ?? 0, nowMs);
    startsMs.push(startMs);
    // A caller that leaves in the queue is noticed only when its turn comes, and its prompt has been read by then.
    busyUntilMs[0] = startMs + runMs;
    served += startMs - nowMs <= firstByteTimeLeftMs ? 1 : 0;
  }
  return served / total;
}

function admitsByDecision(running: number): boolean {
  return decideAdmission({ candidate: { running, runMs, replica: { slots } }, firstByteTimeLeftMs }).kind === 'send';
}

vitest.describe('admission to the queue of a replica', () => {
  vitest.test('sends while the wait is within the patience of the caller', () => {
    for (const running of [0, slots - 1, slots, slots + 10]) {
      vitest.expect(admitsByDecision(running), String(running)).toBe(true);
    }
  });

  vitest.test('refuses what would wait until its caller leaves, with a time at which there is room', () => {
    const decision = decideAdmission({ candidate: { running: 48, runMs, replica: { slots } }, firstByteTimeLeftMs });
    vitest.expect(decision.kind).toBe('refuse');
    vitest.expect(decision.kind === 'refuse' ? decision.retryAfterMs : 0).toBeGreaterThan(1_000);
  });

  vitest.test('serves as many as the replica can run (guards against a queue in which every caller leaves)', () => {
    const capacity = (slots * 1_000) / runMs;
    const ratePerSecond = capacity * 1.5;
    vitest.expect(servedShare(ratePerSecond, () => true)).toBeLessThan(0.2);
    vitest.expect(servedShare(ratePerSecond, admitsByDecision)).toBeGreaterThan(0.6);
  });
});
