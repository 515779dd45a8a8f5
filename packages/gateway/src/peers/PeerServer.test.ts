import * as net from 'node:net';
import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { encodeMessage } from './PeerChannel.js';
import { PeerServer } from './PeerServer.js';

const host = '127.0.0.1';
const message = `${encodeMessage('answeredParts', { parts: [] })}\n`;

/** A server with few connections, and the limits that it has enforced. */
async function openServer(maximumConnections = 2): Promise<{ server: PeerServer; enforced: string[] }> {
  const enforced: string[] = [];
  const limits = { maximumConnections, onEnforced: (limit: string) => void enforced.push(limit) };
  const server = new PeerServer({ host, port: 0 }, systemClock, silentLogger, limits);
  await server.open();
  return { server, enforced };
}

async function connect(server: PeerServer, text = ''): Promise<net.Socket> {
  const socket = net.connect(server.port, host);
  socket.on('error', () => undefined);
  await new Promise((resolve) => socket.once('connect', resolve));
  socket.write(text);
  return socket;
}

function closed(socket: net.Socket): Promise<unknown> {
  return new Promise((resolve) => socket.once('close', resolve));
}

vitest.describe('PeerServer', () => {
  vitest.test(
    'closes a client without a message for a new one (guards against a leader that nobody reaches)',
    async () => {
      const opened = await openServer();
      await using server = opened.server;
      const messages: unknown[] = [];
      server.onMessage((received) => messages.push(received));
      const unidentified = await connect(server);
      const first = await connect(server, message);
      await vitest.vi.waitFor(() => {
        vitest.expect(messages).toHaveLength(1);
      });
      const second = await connect(server, message);
      await closed(unidentified);
      await vitest.vi.waitFor(() => {
        vitest.expect(messages).toHaveLength(2);
      });
      await closed(await connect(server));
      vitest.expect([first.destroyed, second.destroyed]).toEqual([false, false]);
      vitest.expect(opened.enforced).toEqual(['peerConnections', 'peerConnections']);
      first.destroy();
      second.destroy();
    },
  );

  vitest.test.each(['\n', '{}\n', 'GET / HTTP/1.1\r\n'])(
    'closes a client that sends %j (guards against endless invalid messages)',
    async (text) => {
      const opened = await openServer();
      await using server = opened.server;
      await closed(await connect(server, text));
      vitest.expect(opened.enforced).toEqual(['peerMessage']);
      vitest.expect(server.peerCount).toBe(0);
    },
  );

  vitest.test.each([
    ['daemons', message, [7, 7.9, 2]],
    ['clients without a message', '', [1.9, 2, 0.3]],
  ] as const)(
    'closes the longest of too many unfinished messages of %s (guards against exhausted memory)',
    async (_name, first, [firstLength, longestLength, lastLength]) => {
      const opened = await openServer(3);
      await using server = opened.server;
      const text = (megabytes: number): string => first + 'x'.repeat(megabytes * 1024 * 1024);
      const shorter = await connect(server, text(firstLength));
      const longest = await connect(server, text(longestLength));
      await vitest.vi.waitFor(() => {
        vitest.expect([shorter.writableLength, longest.writableLength]).toEqual([0, 0]);
      });
      const last = await connect(server, text(lastLength));
      await closed(longest);
      vitest.expect(opened.enforced).toEqual(['peerMemory']);
      vitest.expect([shorter.destroyed, last.destroyed]).toEqual([false, false]);
      shorter.destroy();
      last.destroy();
    },
  );
});
