import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { decideWait } from './decideWait.js';

vitest.describe('waiting for a model', () => {
  vitest.test('continues while the model is expected in time', () => {
    const decision = decideWait({ waitedMs: 0, firstByteTimeLeftMs: 8_000, latencyTargetMs: 2_000, readyInMs: 6_000 });
    vitest.expect(decision.kind).toBe('wait');
  });

  vitest.test('ends at once when the model is not expected in time (guards against waits that cannot succeed)', () => {
    const decision = decideWait({ waitedMs: 0, firstByteTimeLeftMs: 2_000, latencyTargetMs: 250, readyInMs: 6_000 });
    vitest.expect(decision).toMatchObject({ kind: 'refuse', retryAfterMs: 6_000 });
  });

  vitest.test('ends without an estimate from a leader (guards against waits for a leader that has stopped)', () => {
    const situation = { waitedMs: 3_000, firstByteTimeLeftMs: 5_000, latencyTargetMs: 250 };
    vitest.expect(decideWait(situation).kind).toBe('refuse');
  });

  vitest.test(
    'outlasts a leader change if the caller has the time (guards against refusals just before the new leader is known)',
    () => {
      const callerWithTimeLeft = { waitedMs: 4_500, firstByteTimeLeftMs: 7_500, latencyTargetMs: 3_000 };
      vitest.expect(decideWait(callerWithTimeLeft).kind).toBe('wait');
      vitest
        .expect(decideWait({ ...callerWithTimeLeft, waitedMs: 5_500, firstByteTimeLeftMs: 6_500 }).kind)
        .toBe('refuse');
      vitest
        .expect(decideWait({ waitedMs: 1_000, firstByteTimeLeftMs: 1_500, latencyTargetMs: 600 }).kind)
        .toBe('refuse');
    },
  );

  vitest.test('returns a retry time at which the model is ready (guards against a second refusal)', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.nat(20_000), fastCheck.nat(20_000), (firstByteTimeLeftMs, readyInMs) => {
        const decision = decideWait({ waitedMs: 0, firstByteTimeLeftMs, latencyTargetMs: 250, readyInMs });
        return decision.kind === 'wait' || decision.retryAfterMs >= readyInMs;
      }),
    );
  });
});
