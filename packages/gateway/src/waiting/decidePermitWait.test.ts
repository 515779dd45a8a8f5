import * as vitest from 'vitest';
import { decidePermitWait } from './decidePermitWait.js';

const situation = {
  waitedMs: 0,
  firstByteTimeLeftMs: 2_000,
  timeLeftMs: 4_000,
  callerTimeoutMs: 2_000,
  latencyTargetMs: 1_000,
  runMs: 1_000,
};

vitest.describe('waiting for a permit', () => {
  vitest.test('continues while the turn leaves time for the run', () => {
    vitest.expect(decidePermitWait({ ...situation, readyInMs: 1_800 }).kind).toBe('wait');
  });

  vitest.test('ends at once with the time of the turn if it comes too late (guards against useless waits)', () => {
    const decision = decidePermitWait({ ...situation, readyInMs: 2_500 });
    vitest.expect(decision).toMatchObject({ kind: 'refuse', retryAfterMs: 2_500 });
  });

  vitest.test('ends if the run would outlast the deadline (guards against streams cut at their deadline)', () => {
    vitest.expect(decidePermitWait({ ...situation, timeLeftMs: 1_200, readyInMs: 500 }).kind).toBe('refuse');
  });

  vitest.test('ends without an answer from the leader (guards against waits for a leader that has stopped)', () => {
    vitest.expect(decidePermitWait({ ...situation, waitedMs: 3_000 }).kind).toBe('refuse');
  });
});
