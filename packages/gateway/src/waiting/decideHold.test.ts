import * as vitest from 'vitest';
import { HoldingSimulation, type ClassResult, type HoldingOptions } from '../testing/HoldingSimulation.js';
import { decideHold, type HoldSituation } from './decideHold.js';
import { TenantShares } from './TenantShares.js';

const situation: HoldSituation = {
  exceedsShare: true,
  othersAreHeld: false,
  running: 24,
  slots: 24,
  firstByteAfterMs: 500,
  firstByteTimeLeftMs: 4_000,
};

vitest.describe('holding requests while replicas are full', () => {
  vitest.test('concerns tenants that exceed their share only (guards against idle slots)', () => {
    vitest.expect(decideHold(situation)).toBe('hold');
    vitest.expect(decideHold({ ...situation, exceedsShare: false })).toBe('send');
    vitest.expect(decideHold({ ...situation, running: 23 })).toBe('send');
  });

  vitest.test('keeps the order (guards against new requests that pass those which wait)', () => {
    vitest.expect(decideHold({ ...situation, running: 23, othersAreHeld: true })).toBe('hold');
  });

  vitest.test('ends when the response would come too late (guards against runs for callers that have left)', () => {
    vitest.expect(decideHold({ ...situation, firstByteTimeLeftMs: 799 })).toBe('refuse');
  });
});

vitest.describe('share of a tenant', () => {
  vitest.test(
    'is exceeded by a surge and not by equal or rare tenants (guards against requests held for nothing)',
    () => {
      const shares = new TenantShares();
      for (let nowMs = 0; nowMs < 4_000; nowMs += 400) {
        ['a', 'a', 'a', 'a', 'b', 'c'].forEach((name) => {
          shares.record('s', name, nowMs);
        });
        ['a', 'b'].forEach((name) => {
          shares.record('equal', name, nowMs);
        });
      }
      shares.record('rare', 'b', 0);
      shares.record('rare', 'a', 4_000);
      shares.record('rare', 'a', 4_000);
      vitest.expect(['a', 'b'].map((name) => shares.exceedsShare('s', name, 4_000))).toEqual([true, false]);
      vitest.expect(['a', 'b'].map((name) => shares.exceedsShare('equal', name, 4_000))).toEqual([false, false]);
      vitest.expect(shares.exceedsShare('rare', 'a', 4_000)).toBe(false);
      vitest.expect(shares.exceedsShare('s', 'a', 30_000)).toBe(false);
    },
  );
});

vitest.describe('simulated overload of a service by 82 daemons', () => {
  const caller = { urgency: 2, targetMs: 400, timeoutMs: 4_000 };
  const small = Array.from({ length: 13 }, (_none, index) => {
    return { ...caller, name: 'small', share: 0.4 / 13, tenantName: `s${index}` };
  });
  const tenants = [
    { ...caller, name: 'surge', share: 0.33, tenantName: 'a' },
    { ...caller, name: 'large', share: 0.27, tenantName: 'b' },
    ...small,
  ];
  const classes = [
    { ...caller, name: 'interactive', share: 0.6 },
    { name: 'patient', share: 0.4, urgency: 3, targetMs: 4_000, timeoutMs: 25_000 },
  ];
  const options: HoldingOptions = {
    daemons: 82,
    reports: { delayMs: 100, intervalMs: 400 },
    replicas: 4,
    slots: 6,
    meanRunMs: 250,
    load: (second) => (second % 10 < 5 ? 1.8 : 0.4),
    classes,
    heldFrom: 0,
    held: 'all',
    durationMs: 30_000,
    seed: 7,
  };

  function play(changes: Partial<HoldingOptions>): ReadonlyMap<string, ClassResult> {
    return new HoldingSimulation({ ...options, ...changes }).run();
  }

  vitest.test('serves fewer interactive requests in time if all are held (guards against mixed urgencies)', () => {
    const [sent, held] = [play({ heldFrom: undefined }), play({ held: 'all' })];
    vitest.expect(held.get('interactive')?.inTime).toBeLessThan(sent.get('interactive')?.inTime ?? 0);
  });

  vitest.test(
    'loses fewer requests of small tenants if the surge is held (guards against one tenant taking all)',
    () => {
      const surge = { classes: tenants, slots: 24, meanRunMs: 500 };
      const [sent, held] = [play({ ...surge, heldFrom: undefined }), play({ ...surge, held: 'exceedingTenants' })];
      vitest.expect(held.get('small')?.lost).toBeLessThan(sent.get('small')?.lost ?? 0);
    },
  );
});
