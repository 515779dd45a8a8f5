import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { type LeaseFault, LeaseSimulation, type SentOrder } from '../testing/LeaseSimulation.js';
import type { LeaseTimes } from './Lease.js';

const times: LeaseTimes = { validityMs: 2_200, renewMs: 700, handoverMs: 3_300, reclaimMs: 2_000 };
/** Least time between the orders of two VMs, milliseconds. */
const leastGapMs = 3_000;
/** Time without faults in which somebody must lead, milliseconds. */
const calmMs = 9_000;

const fault = fastCheck.record<LeaseFault>({
  kind: fastCheck.constantFrom('copy', 'restore', 'storeDown', 'cutDaemon', 'restartDaemon'),
  daemon: fastCheck.nat(2),
  durationMs: fastCheck.integer({ min: 10, max: 6_000 }),
  pauseMs: fastCheck.integer({ min: 10, max: 6_000 }),
});

async function ordersUnder(faults: readonly LeaseFault[]): Promise<readonly SentOrder[]> {
  vitest.vi.useFakeTimers({ now: 1_000_000 });
  try {
    const simulation = new LeaseSimulation(3, times);
    await simulation.run(faults, calmMs);
    return simulation.orders;
  } finally {
    vitest.vi.useRealTimers();
  }
}

function checkOrders(orders: readonly SentOrder[]): void {
  for (const [index, order] of orders.entries()) {
    const before = orders[index - 1];
    if (before !== undefined && before.daemon !== order.daemon) {
      vitest.expect(order.atMs - before.atMs, JSON.stringify([before, order])).toBeGreaterThanOrEqual(leastGapMs);
    }
    vitest.expect(order.token, JSON.stringify([before, order])).toBeGreaterThanOrEqual(before?.token ?? 0);
  }
}

vitest.describe('lease in a store that is restored from copies', () => {
  vitest.test(
    'never has two VMs send orders in turn, nor lets tokens fall (guards against two holders after a restore)',
    async () => {
      const property = fastCheck.asyncProperty(fastCheck.array(fault, { maxLength: 8 }), async (faults) => {
        checkOrders(await ordersUnder(faults));
      });
      await fastCheck.assert(property, { numRuns: 60, seed: 30 });
    },
  );

  vitest.test('is held again soon after a restore (guards against a system without a leader)', async () => {
    const orders = await ordersUnder([
      { kind: 'copy', daemon: 0, durationMs: 0, pauseMs: 5_000 },
      { kind: 'restore', daemon: 0, durationMs: 2_500, pauseMs: 10_000 },
    ]);
    checkOrders(orders);
    vitest.expect(orders.at(-1)?.atMs).toBeGreaterThan(1_000_000 + 2 * calmMs + 14_000);
  });

  vitest.test(
    'stays with a holder whose term outlasts a short outage (guards against a needless handover)',
    async () => {
      const orders = await ordersUnder([
        { kind: 'copy', daemon: 0, durationMs: 0, pauseMs: 5_000 },
        { kind: 'restore', daemon: 0, durationMs: 300, pauseMs: 10_000 },
      ]);
      vitest.expect(new Set(orders.map(({ token }) => token)).size).toBe(1);
    },
  );
});
