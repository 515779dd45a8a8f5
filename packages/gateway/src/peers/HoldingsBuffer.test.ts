import * as vitest from 'vitest';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import { HoldingsBuffer } from './HoldingsBuffer.js';

function holdings(replicaId: string, model: string): ReplicaHoldings {
  return { replicaId, bornMs: 1, models: [{ name: model, adapters: [] }] };
}

vitest.describe('holdings buffer', () => {
  vitest.test(
    'returns the newest change of each replica once (guards against a message for each order and daemon)',
    () => {
      const buffer = new HoldingsBuffer();
      vitest.expect(buffer.add(holdings('r1', 'old'))).toBe(true);
      vitest.expect(buffer.add(holdings('r2', 'm'))).toBe(false);
      vitest.expect(buffer.add(holdings('r1', 'new'))).toBe(false);
      vitest.expect(buffer.take()).toEqual([holdings('r1', 'new'), holdings('r2', 'm')]);
      vitest.expect(buffer.take()).toEqual([]);
      vitest.expect(buffer.add(holdings('r1', 'm'))).toBe(true);
    },
  );
});
