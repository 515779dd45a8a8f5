import type * as net from 'node:net';
import * as stream from 'node:stream';
import * as vitest from 'vitest';
import { systemClock } from '../Clock.js';
import type { AnsweredPart } from '../crashes/Types.js';
import { encodeMessage, PeerChannel, type PeerMessage } from './PeerChannel.js';

const durationLimitMs = 500;
const partLength = 40;
const maximumLineLength = 8 * 1024 * 1024;
const answeredParts = Array.from({ length: 40_000 }, (_none, index) => answered(`part-${index}`));

function answered(part: string): AnsweredPart {
  return { part, ageMs: 1 };
}

/** A connection whose other end is the test. */
function openSocket(): stream.PassThrough {
  return Object.assign(new stream.PassThrough(), { setNoDelay: () => undefined });
}

vitest.describe('PeerChannel', () => {
  vitest.test('receives messages in any division (guards against lost messages)', async () => {
    const socket = openSocket();
    const channel = new PeerChannel(socket as unknown as net.Socket, systemClock);
    const received: PeerMessage[] = [];
    channel.onMessage((message) => received.push(message));
    const messages = [['a'], ['b', 'c'], []].map((ids) => ({ parts: ids.map(answered) }));
    const text = messages.map((message) => `${encodeMessage('answeredParts', message)}\n`).join('');
    for (let position = 0; position < text.length; position += 7) {
      socket.write(text.slice(position, position + 7));
    }
    await vitest.vi.waitFor(() => {
      vitest.expect(received.map(({ params }) => params)).toEqual(messages);
    });
  });

  vitest.test(
    'handles nothing after a line that is too long (guards against messages of a closed channel)',
    async () => {
      const socket = openSocket();
      const channel = new PeerChannel(socket as unknown as net.Socket, systemClock);
      const received: PeerMessage[] = [];
      channel.onMessage((message) => received.push(message));
      const closed = new Promise((resolve) => channel.onClosed(resolve));
      const message = `${encodeMessage('answeredParts', { parts: [answered('a')] })}\n`;
      socket.write(`${message}${' '.repeat(maximumLineLength + 1)}\n${message}`);
      vitest.expect(await closed).toBe('message is too long');
      vitest.expect(received).toHaveLength(1);
    },
  );

  vitest.test('takes time in proportion to a long message (guards against a daemon that stands still)', async () => {
    const socket = openSocket();
    const channel = new PeerChannel(socket as unknown as net.Socket, systemClock);
    const message = new Promise((resolve) => channel.onMessage(resolve));
    const text = `${encodeMessage('answeredParts', { parts: answeredParts })}\n`;
    const startedMs = performance.now();
    for (let position = 0; position < text.length; position += partLength) {
      socket.write(text.slice(position, position + partLength));
    }
    await message;
    vitest.expect(performance.now() - startedMs).toBeLessThan(durationLimitMs);
  });
});
