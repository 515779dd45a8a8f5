import * as net from 'node:net';
import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { PeerServer } from './PeerServer.js';
import { PeerClient } from './PeerClient.js';

const host = '127.0.0.1';
const tableOffsets = { configuration: 0, replicas: 0 };

vitest.describe('connection to the placement leader', () => {
  vitest.test(
    'is not alive while the leader only accepts connections (guards against following a suspended leader)',
    async () => {
      const suspended = net.createServer(() => undefined);
      await new Promise<void>((resolve) => suspended.listen(0, host, resolve));
      const { port } = suspended.address() as net.AddressInfo;
      await using client = new PeerClient([], systemClock, silentLogger);
      client.setLeader({ host, port });
      for (let step = 0; step < 25; step += 1) {
        const nowMs = systemClock.now().steadyMs;
        client.maintainConnection(nowMs, true);
        vitest.expect(client.isAlive(nowMs)).toBe(false);
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
      suspended.close();
    },
  );

  vitest.test(
    'abandons a connection attempt to a seed when the leader becomes known (guards against never connecting to the leader)',
    async () => {
      await using seed = new PeerServer({ host, port: 0 }, systemClock, silentLogger);
      await seed.open();
      await using leader = new PeerServer({ host, port: 0 }, systemClock, silentLogger);
      await leader.open();
      await using client = new PeerClient([{ host, port: seed.port }], systemClock, silentLogger);
      client.maintainConnection(systemClock.now().steadyMs, true);
      client.setLeader({ host, port: leader.port });
      await vitest.vi.waitFor(() => {
        client.maintainConnection(systemClock.now().steadyMs, true);
        vitest.expect([seed.peerCount, leader.peerCount]).toEqual([0, 1]);
      });
    },
  );

  vitest.test('is alive when the leader sends its status', async () => {
    await using server = new PeerServer({ host, port: 0 }, systemClock, silentLogger);
    await server.open();
    await using client = new PeerClient([], systemClock, silentLogger);
    client.setLeader({ host, port: server.port });
    client.maintainConnection(systemClock.now().steadyMs, true);
    await vitest.vi.waitFor(() => {
      server.broadcast('status', { leads: true, tellsChanges: true, daemonCount: 1, ends: tableOffsets });
      vitest.expect(client.isAlive(systemClock.now().steadyMs)).toBe(true);
    });
  });
});
