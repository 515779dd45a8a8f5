import * as net from 'node:net';
import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { PeerHub } from './PeerHub.js';
import { PeerLink } from './PeerLink.js';

const host = '127.0.0.1';
const ends = { configuration: 0, replicas: 0 };

vitest.describe('link to the placement leader', () => {
  vitest.test(
    'does not hear a leader that only accepts connections (guards against a suspended leader that stays)',
    async () => {
      const suspended = net.createServer(() => undefined);
      await new Promise<void>((resolve) => suspended.listen(0, host, resolve));
      const { port } = suspended.address() as net.AddressInfo;
      await using link = new PeerLink([], systemClock, silentLogger);
      link.follow({ host, port });
      for (let step = 0; step < 25; step += 1) {
        const nowMs = systemClock.now().steadyMs;
        link.keepUp(nowMs, true);
        vitest.expect(link.isHeard(nowMs)).toBe(false);
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
      suspended.close();
    },
  );

  vitest.test(
    'turns from a connection under way to a leader that is named meanwhile (guards against following no leader for good)',
    async () => {
      await using seed = new PeerHub({ host, port: 0 }, systemClock, silentLogger);
      await seed.open();
      await using leader = new PeerHub({ host, port: 0 }, systemClock, silentLogger);
      await leader.open();
      await using link = new PeerLink([{ host, port: seed.port }], systemClock, silentLogger);
      link.keepUp(systemClock.now().steadyMs, true);
      link.follow({ host, port: leader.port });
      await vitest.vi.waitFor(() => {
        link.keepUp(systemClock.now().steadyMs, true);
        vitest.expect([seed.peerCount, leader.peerCount]).toEqual([0, 1]);
      });
    },
  );

  vitest.test('hears a leader that tells its status', async () => {
    await using hub = new PeerHub({ host, port: 0 }, systemClock, silentLogger);
    await hub.open();
    await using link = new PeerLink([], systemClock, silentLogger);
    link.follow({ host, port: hub.port });
    link.keepUp(systemClock.now().steadyMs, true);
    await vitest.vi.waitFor(() => {
      hub.broadcast('status', { leads: true, tellsChanges: true, daemonCount: 1, ends });
      vitest.expect(link.isHeard(systemClock.now().steadyMs)).toBe(true);
    });
  });
});
