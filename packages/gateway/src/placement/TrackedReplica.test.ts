import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { TrackedReplica } from './TrackedReplica.js';

const replica = sampleReplica();
const limits = { weightMegabytes: 100, slowness: 1, adapterSlots: 2 };

function trackReplica(): TrackedReplica {
  const tracked = new TrackedReplica(replica);
  const models = ['old', 'other'].map((name) => ({ name, adapters: [] }));
  tracked.sync({ models, loadingAdapters: [], orderInProgress: false, orderSequence: 0, bornMs: 1 }, 0, true);
  return tracked;
}

function usableModels(tracked: TrackedReplica): readonly string[] {
  return tracked.holdings().models.map((model) => model.name);
}

vitest.describe('tracked replica', () => {
  vitest.test('omits a retiring model from the holdings (guards against requests that keep it in use)', () => {
    const tracked = trackReplica();
    tracked.clearFor('wanted', ['old'], 500);
    vitest.expect(usableModels(tracked)).toEqual(['other']);
    vitest.expect(tracked.toPlacedReplica(limits, undefined, false, 600).models[0]?.retiringSinceMs).toBe(500);
  });

  vitest.test('restores it when the clearing is cancelled (guards against a model that stays hidden)', () => {
    const tracked = trackReplica();
    tracked.clearFor('wanted', ['old'], 500);
    tracked.clearFor(undefined, [], 600);
    vitest.expect(usableModels(tracked)).toEqual(['old', 'other']);
  });

  vitest.test('accepts nothing while unreachable (guards against models that wait for a dead replica)', () => {
    const placed = trackReplica().toPlacedReplica(limits, undefined, true, 600);
    vitest.expect(placed).toMatchObject({ takesRequests: false, takesOrders: false });
  });

  vitest.test('reports an order of a former leader until it ends or its time limit passes', () => {
    const tracked = new TrackedReplica(replica);
    tracked.recordFormerOrder(true, 1_000);
    tracked.recordFormerOrder(true, 10_000);
    vitest.expect([tracked.hasFormerOrder(30_000), tracked.hasFormerOrder(31_000)]).toEqual([true, false]);
    tracked.recordFormerOrder(false, 30_500);
    vitest.expect(tracked.hasFormerOrder(30_600)).toBe(false);
  });
});
