import * as vitest from 'vitest';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import { HoldingsGatherer } from './HoldingsGatherer.js';

function holdings(replicaId: string, model: string): ReplicaHoldings {
  return { replicaId, bornMs: 1, models: [{ name: model, adapters: [] }] };
}

vitest.describe('gathering of holdings', () => {
  vitest.test('sends the newest of each replica once (guards against a message for each order and daemon)', () => {
    const gatherer = new HoldingsGatherer();
    vitest.expect(gatherer.add(holdings('r1', 'old'))).toBe(true);
    vitest.expect(gatherer.add(holdings('r2', 'm'))).toBe(false);
    vitest.expect(gatherer.add(holdings('r1', 'new'))).toBe(false);
    vitest.expect(gatherer.take()).toEqual([holdings('r1', 'new'), holdings('r2', 'm')]);
    vitest.expect(gatherer.take()).toEqual([]);
    vitest.expect(gatherer.add(holdings('r1', 'm'))).toBe(true);
  });
});
