import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { decideWait, type WaitingSituation } from './decideWait.js';

const caller = { waitedMs: 0, firstByteTimeLeftMs: 2_000, timeLeftMs: 10_000, callerTimeoutMs: 2_000 };
const situation: WaitingSituation = { ...caller, latencyTargetMs: 250 };

vitest.describe('waiting for a model', () => {
  vitest.test('continues while the first byte can still arrive (guards against refusals of late requests)', () => {
    vitest.expect(decideWait({ ...situation, readyInMs: 1_700 }).kind).toBe('wait');
  });

  vitest.test('ends at once when the model is not expected in time (guards against waits that cannot succeed)', () => {
    const decision = decideWait({ ...situation, readyInMs: 1_740 });
    vitest.expect(decision).toMatchObject({ kind: 'refuse', retryAfterMs: 1_740 });
    const hasNoTime = { ...situation, firstByteTimeLeftMs: 100, latencyTargetMs: 4_000, readyInMs: 2_000 };
    vitest.expect(decideWait(hasNoTime).kind).toBe('refuse');
  });

  vitest.test('ends without an estimate from a leader (guards against waits for a leader that has stopped)', () => {
    vitest.expect(decideWait({ ...situation, waitedMs: 3_000, firstByteTimeLeftMs: 5_000 }).kind).toBe('refuse');
  });

  vitest.test('lasts until the first leader sends estimates (guards against refusals after a power loss)', () => {
    const first = { ...situation, waitedMs: 1_600, firstByteTimeLeftMs: 400, awaitsFirstLeader: true };
    vitest.expect(decideWait(first).kind).toBe('wait');
    vitest.expect(decideWait({ ...first, firstByteTimeLeftMs: 300 }).kind).toBe('refuse');
    vitest.expect(decideWait({ ...first, readyInMs: 5_000 }).kind).toBe('refuse');
  });

  vitest.test(
    'outlasts a leader change if the caller has the time (guards against refusals just before the new leader is known)',
    () => {
      const callerWithTimeLeft = {
        ...situation,
        waitedMs: 4_500,
        firstByteTimeLeftMs: 7_500,
        latencyTargetMs: 3_000,
      };
      vitest.expect(decideWait(callerWithTimeLeft).kind).toBe('wait');
      vitest
        .expect(decideWait({ ...callerWithTimeLeft, waitedMs: 5_500, firstByteTimeLeftMs: 6_500 }).kind)
        .toBe('refuse');
      vitest
        .expect(decideWait({ ...situation, waitedMs: 1_000, firstByteTimeLeftMs: 1_500, latencyTargetMs: 600 }).kind)
        .toBe('refuse');
    },
  );

  vitest.test('returns a retry time at which the retry is served or waits (guards against a second refusal)', () => {
    const times = fastCheck.nat(30_000);
    fastCheck.assert(
      fastCheck.property(times, times, times, times, (firstByteTimeLeftMs, timeLeftMs, callerTimeoutMs, readyInMs) => {
        const decision = decideWait({ ...situation, firstByteTimeLeftMs, timeLeftMs, callerTimeoutMs, readyInMs });
        if (decision.kind === 'wait' || decision.returnWindow?.isServed !== true) {
          // The true time is returned if no retry can be served.
          return decision.kind === 'wait' || decision.retryAfterMs >= readyInMs;
        }
        const { firstMs, lastMs } = decision.returnWindow;
        return [firstMs, lastMs].every((atMs) => {
          const retry = {
            firstByteTimeLeftMs: Math.min(callerTimeoutMs, timeLeftMs - atMs),
            timeLeftMs: timeLeftMs - atMs,
          };
          const readyThenMs = Math.max(readyInMs - atMs, 0);
          return (
            atMs <= timeLeftMs / 3 && decideWait({ ...situation, ...retry, readyInMs: readyThenMs }).kind === 'wait'
          );
        });
      }),
      { seed: 4_711, numRuns: 2_000 },
    );
  });
});
