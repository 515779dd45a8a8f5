import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import { LeaderCoordinator } from '../peers/LeaderCoordinator.js';
import { PeerAnnouncementSender } from '../peers/PeerAnnouncementSender.js';
import { PeerClient } from '../peers/PeerClient.js';
import { PeerServer } from '../peers/PeerServer.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { KnownLeader, type LeaderAnnouncement } from './KnownLeader.js';
import { LeaderAnnouncer } from './LeaderAnnouncer.js';

const host = '127.0.0.1';
const former: LeaderAnnouncement = { holder: 'former', peerAddress: `${host}:1`, term: 1 };
const successor: LeaderAnnouncement = { holder: 'successor', peerAddress: `${host}:2`, term: 2 };

vitest.describe('announcement of the lease', () => {
  vitest.test(
    'is accepted by a daemon that first says whom it knows (guards against an answer from before the announcement)',
    async () => {
      await using server = new PeerServer({ host, port: 0 }, systemClock, silentLogger);
      await using client = new PeerClient([], systemClock, silentLogger);
      const known = new KnownLeader('seed', silentLogger);
      known.learnFromStore(former);
      new LeaderCoordinator(known, { server, client });
      await server.open();
      const sender = new PeerAnnouncementSender(systemClock);
      vitest.expect(await sender.announce(`${host}:${server.port}`, successor)).toEqual(successor);
      vitest.expect(known.current).toEqual(successor);
      await vitest.vi.waitFor(() => {
        vitest.expect(server.peerCount).toBe(0);
      });
    },
  );

  vitest.test(
    'is repeated until it is answered, and not after the lease is lost (guards against lost announcements and endless ones)',
    async () => {
      vitest.vi.useFakeTimers();
      const calls: string[] = [];
      const announce = (address: string): Promise<LeaderAnnouncement | undefined> => {
        calls.push(address);
        return Promise.resolve(
          address === 'a' && calls.filter((call) => call === 'a').length > 2 ? successor : undefined,
        );
      };
      let isHolder = true;
      const known = new KnownLeader(successor.holder, silentLogger);
      await using announcer = new LeaderAnnouncer(known, ['a', 'b'], { announce }, () => isHolder, silentLogger);
      vitest.expect(announcer).toBeDefined();
      known.learnFromStore(successor);
      await vitest.vi.advanceTimersByTimeAsync(60_000);
      vitest.expect(calls.filter((call) => call === 'a')).toHaveLength(3);
      vitest.expect(calls.filter((call) => call === 'b').length).toBeGreaterThan(8);
      isHolder = false;
      const before = calls.length;
      await vitest.vi.advanceTimersByTimeAsync(60_000);
      vitest.expect(calls).toHaveLength(before);
      vitest.vi.useRealTimers();
    },
  );
});
