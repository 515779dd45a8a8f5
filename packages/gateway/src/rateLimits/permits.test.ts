import * as vitest from 'vitest';
import { LeaderlessPermits } from './LeaderlessPermits.js';
import { PermitPool } from './PermitPool.js';

const reportedAt = { steadyMs: 1_000, wallMs: 50_000 };

/** A time after the report, by each clock. */
function after(steadyMs: number, wallMs: number): { readonly steadyMs: number; readonly wallMs: number } {
  return { steadyMs: reportedAt.steadyMs + steadyMs, wallMs: reportedAt.wallMs + wallMs };
}

vitest.describe('permits of the leader', () => {
  vitest.test('allow one request each, for a second after the report (guards against requests after a delay)', () => {
    const pool = new PermitPool();
    pool.add('r1', 2, reportedAt);
    vitest.expect(pool.tryTake('r1', after(100, 100))).toBe(true);
    vitest.expect(pool.tryTake('r1', after(1_100, 1_100))).toBe(false);
  });

  vitest.test('expire during a suspension, which stops the steady clock (guards against requests after it)', () => {
    const pool = new PermitPool();
    pool.add('r1', 1, reportedAt);
    vitest.expect(pool.tryTake('r1', after(100, 4_000))).toBe(false);
  });

  vitest.test('expire when the wall clock is set back (guards against permits that last for hours)', () => {
    const pool = new PermitPool();
    pool.add('r1', 1, reportedAt);
    vitest.expect(pool.tryTake('r1', after(100, -3_600_000))).toBe(false);
  });
});

vitest.describe('permits of a daemon without a leader', () => {
  vitest.test('are not saved up (guards against all daemons sending at the same time after a pause)', () => {
    const permits = new LeaderlessPermits(() => 0.5);
    const spacingMs = 2_000;
    vitest.expect(permits.nextInMs('r1', spacingMs, 0)).toBe(1_000);
    vitest.expect(permits.tryTake('r1', spacingMs, 61_100)).toBe(true);
    vitest.expect(permits.tryTake('r1', spacingMs, 61_100)).toBe(false);
    vitest.expect(permits.nextInMs('r1', spacingMs, 61_600)).toBe(1_400);
  });
});
