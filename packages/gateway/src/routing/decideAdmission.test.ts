import * as vitest from 'vitest';
import { decideAdmission } from './decideAdmission.js';

const slots = 12;
const runMs = 1_200;
const firstByteTimeLeftMs = 2_000;

/** Simulates requests at a steady rate on one replica with a FIFO queue; returns the share that is served in time. */
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
    // A caller that disconnects in the queue is detected only at its turn, after its prompt has been processed.
    busyUntilMs[0] = startMs + runMs;
    served += startMs - nowMs <= firstByteTimeLeftMs ? 1 : 0;
  }
  return served / total;
}

function admitsByDecision(running: number): boolean {
  return decideAdmission({ candidate: { running, runMs, replica: { slots } }, firstByteTimeLeftMs }).kind === 'send';
}

vitest.describe('admission to the queue of a replica', () => {
  vitest.test('sends while the caller has time for the wait in the queue', () => {
    for (const running of [0, slots - 1, slots, slots + 10]) {
      vitest.expect(admitsByDecision(running), String(running)).toBe(true);
    }
  });

  vitest.test('refuses a request that would wait until its caller disconnects, with a time for the retry', () => {
    const decision = decideAdmission({ candidate: { running: 48, runMs, replica: { slots } }, firstByteTimeLeftMs });
    vitest.expect(decision.kind).toBe('refuse');
    vitest.expect(decision.kind === 'refuse' ? decision.retryAfterMs : 0).toBeGreaterThan(1_000);
  });

  vitest.test('uses the capacity of the replica (guards against a queue in which every caller disconnects)', () => {
    const capacity = (slots * 1_000) / runMs;
    const ratePerSecond = capacity * 1.5;
    vitest.expect(servedShare(ratePerSecond, () => true)).toBeLessThan(0.2);
    vitest.expect(servedShare(ratePerSecond, admitsByDecision)).toBeGreaterThan(0.6);
  });
});
