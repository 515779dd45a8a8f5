import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import type { Instant } from '../Types.js';
import {
  decodeLease,
  encodeLease,
  firstOrderDelayMs,
  isLeaseValid,
  type LeaseRecord,
  type LeaseTimes,
  type ObservedLease,
  takeoverDelayMs,
} from './Lease.js';

const times: LeaseTimes = { validityMs: 2_000, renewMs: 600, handoverMs: 3_300, reclaimMs: 1_500 };
const start: Instant = { steadyMs: 10_000, wallMs: 1_000_000 };

function later(milliseconds: number, wallJumpMs = 0): Instant {
  return { steadyMs: start.steadyMs + milliseconds, wallMs: start.wallMs + milliseconds + wallJumpMs };
}

function observedLease(
  holder: string,
  released: boolean,
  ordersFromWallMs = start.wallMs,
): ObservedLease & { readonly record: LeaseRecord } {
  const record = { holder, peerAddress: '127.0.0.1:1', term: 7, ordersFromWallMs, released, era: 1 };
  return { position: { era: 1, offset: 7 }, record, observedAt: start };
}

vitest.describe('lease of the placement leader', () => {
  vitest.test(
    'expires when only the wall clock has advanced (guards against orders from a VM that was suspended)',
    () => {
      vitest.expect(isLeaseValid(start, later(100), times)).toBe(true);
      vitest.expect(isLeaseValid(start, later(100, 5_000), times)).toBe(false);
    },
  );

  vitest.test(
    'is not valid after the wall clock has stepped back (guards against a clock step that hides a suspension)',
    () => {
      vitest.expect(isLeaseValid(start, later(100, -2_000), times)).toBe(false);
    },
  );

  vitest.test('is not taken over early when the wall clock jumps ahead (guards against two holders)', () => {
    vitest.expect(takeoverDelayMs(observedLease('a', false), 'b', later(500, 60_000), times)).toBe(1_500);
  });

  vitest.test('is reserved for a holder that restarts at once (guards against a handover at each restart)', () => {
    vitest.expect(takeoverDelayMs(observedLease('a', true), 'b', later(500), times)).toBe(1_000);
    vitest.expect(takeoverDelayMs(observedLease('a', true), 'a', later(500), times)).toBe(0);
  });

  vitest.test(
    'preserves the order delay of a restarted holder (guards against orders right after the former holder)',
    () => {
      const own = observedLease('a', false, start.wallMs + 3_000);
      vitest.expect(firstOrderDelayMs(own, 'a', later(1_000), times)).toBe(2_000);
      vitest.expect(firstOrderDelayMs(own, 'a', later(1_000, -60_000), times)).toBe(times.handoverMs);
    },
  );

  vitest.test('never lets two VMs send orders within the handover time (guards against alternating holders)', () => {
    const cases = fastCheck.tuple(
      fastCheck.integer({ min: 0, max: 5_000 }),
      fastCheck.boolean(),
      fastCheck.integer({ min: -10_000, max: 10_000 }),
    );
    fastCheck.assert(
      fastCheck.property(cases, ([lookMs, released, wallJumpMs]) => {
        const former = observedLease('a', released);
        const delayMs = takeoverDelayMs(former, 'b', later(lookMs, wallJumpMs), times);
        const takenAtMs = lookMs + delayMs;
        const firstOrderMs = takenAtMs + firstOrderDelayMs(former, 'b', later(takenAtMs, wallJumpMs), times);
        // The former holder sends its last order at its release at the latest, or before its last renewal expires.
        const lastOrderMs = released ? 0 : times.validityMs;
        return firstOrderMs - lastOrderMs >= times.handoverMs;
      }),
    );
  });

  vitest.test('is decoded as encoded, and other text is rejected (guards against a foreign record)', () => {
    const { record } = observedLease('a', false);
    vitest.expect(decodeLease(encodeLease(record))).toEqual(record);
    vitest.expect(decodeLease('{"holder":1}')).toBeUndefined();
    vitest.expect(decodeLease('\u0000')).toBeUndefined();
  });
});
