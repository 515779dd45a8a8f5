import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import { SimulatedStore, SimulatedStoreClient } from '../testing/changes/SimulatedStore.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { messageIntervals } from '../peers/messageIntervals.js';
import { ReplicaOrder } from './ReplicaOrder.js';
import { readTiming, TableSynchronizer } from './TableSynchronizer.js';

vitest.describe('reads of a table', () => {
  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
  });

  vitest.test(
    'are repeated sooner once the leader is lost (guards against a long pause after reads that failed while it led)',
    async () => {
      vitest.vi.useFakeTimers({ now: 1_000_000 });
      const store = new SimulatedStore();
      const client = new SimulatedStoreClient(store);
      client.reachability = 'refused';
      await using synchronizer = new TableSynchronizer(
        client,
        'replicas',
        new ReplicaOrder(client),
        systemClock,
        silentLogger,
      );
      const situation = { hasFollowers: false, intervals: messageIntervals(9) };
      synchronizer.setTiming(readTiming({ ...situation, leader: 'current' }));
      synchronizer.start();
      await vitest.vi.advanceTimersByTimeAsync(20_000);
      synchronizer.setTiming(readTiming({ ...situation, leader: 'unheard' }));
      const readsBefore = store.reads;
      await vitest.vi.advanceTimersByTimeAsync(2_900);
      vitest.expect(store.reads - readsBefore).toBeGreaterThan(4);
    },
  );
});
