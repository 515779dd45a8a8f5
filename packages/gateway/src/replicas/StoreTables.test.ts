import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import type { TableMessage } from '../peers/Types.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import { SimulatedStore, SimulatedStoreClient } from '../testing/changes/SimulatedStore.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { StoreTables } from './StoreTables.js';

const livenessMs = 1_200;

vitest.describe('tables of a daemon that does not reach the store', () => {
  let store: SimulatedStore;
  let client: SimulatedStoreClient;
  let tables: StoreTables;
  let sent: TableMessage[];

  vitest.beforeEach(async () => {
    vitest.vi.useFakeTimers({ now: 1_000_000 });
    store = new SimulatedStore();
    store.write('replicas', 'r1', sampleReplica());
    client = new SimulatedStoreClient(store);
    tables = new StoreTables(client, () => 0, livenessMs, systemClock, silentLogger);
    sent = [];
    tables.start();
    await vitest.vi.advanceTimersByTimeAsync(100);
    client.reachability = 'refused';
    await vitest.vi.advanceTimersByTimeAsync(1_000);
  });

  vitest.afterEach(async () => {
    await tables[Symbol.asyncDispose]();
    vitest.vi.useRealTimers();
  });

  /** A peer joins that has read up to an offset of the replicas. */
  function join(replicas: number): void {
    const channel = {
      send: (_method: string, params: unknown) => {
        const message = params as TableMessage;
        if (message.table === 'replicas') sent.push(message);
      },
    };
    tables.sendMissingRecords(channel, { configuration: 0, replicas, eras: { configuration: 1, replicas: 1 } });
  }

  vitest.test(
    'give a peer that has read more what others have forwarded (guards against requests to replicas that have left)',
    () => {
      tables.applyFromFollower({
        table: 'replicas',
        records: [{ key: 'r1', offset: 6 }],
        end: 0,
        whole: false,
        era: 1,
      });
      join(5);
      vitest.expect(sent).toMatchObject([{ records: [{ key: 'r1', offset: 6 }], end: 0 }]);
    },
  );

  vitest.test(
    'say that a peer has caught up only once they have read as much (guards against offsets that hide removals)',
    async () => {
      store.write('replicas', 'r2', sampleReplica({ id: 'r2' }));
      store.write('replicas', 'r2');
      join(2);
      vitest.expect(sent).toEqual([]);
      client.reachability = 'served';
      await vitest.vi.advanceTimersByTimeAsync(3_000);
      vitest.expect(sent).toMatchObject([{ end: 3 }]);
    },
  );
});
