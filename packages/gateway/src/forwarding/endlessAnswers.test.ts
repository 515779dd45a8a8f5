import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { ExchangeFixture, type ReplicaScript } from '../testing/ExchangeFixture.js';
import { chunk, notExecutedHead, signedHead } from '../testing/replicaScripts.js';

/** Time within which a request must have its answer beside answers without end, milliseconds. */
const answerLimitMs = 500;
const observedMs = 2_500;
const intervalMs = 20;
const endlessAnswers = 3;
/** Memory by which the process may grow, bytes; the stand-ins take part of it. */
const memoryLimitBytes = 160 * 1024 * 1024;

const streamHead = `${signedHead}Content-Type: text/event-stream\r\n`;
const chunked = 'Transfer-Encoding: chunked\r\n\r\n';

/** Writes the start of an answer and then a text again and again, as fast as the gateway reads. */
function writeWithoutEnd(socket: net.Socket, start: string, text: string): void {
  const block = Buffer.from(text.repeat(Math.ceil(65_536 / text.length)), 'latin1');
  socket.write(start);
  const write = (): void => {
    if (!socket.destroyed && socket.write(block)) {
      setImmediate(write);
    }
  };
  socket.on('drain', write);
  write();
}

vitest.describe('answers without end', () => {
  const answers: readonly (readonly [string, string, string])[] = [
    ['an event, a line in each chunk', `${streamHead}${chunked}`, chunk('data: to\n')],
    ['an event, a byte in each chunk', `${streamHead}${chunked}`, chunk('x')],
    ['an event in large pieces without a frame', `${streamHead}Connection: close\r\n\r\n`, 'data: to\n'],
    ['small events', `${streamHead}${chunked}`, chunk('id: 1\n\n')],
    ['a body, a byte in each chunk', `${signedHead}${chunked}`, chunk('x')],
    ['a body without a frame', `${signedHead}Connection: close\r\n\r\n`, 'x'],
    ['a refusal, a byte in each chunk', `${notExecutedHead}${chunked}`, chunk('x')],
    ['a head', signedHead, 'x-other: 1\r\n'],
    ['interim answers', '', 'HTTP/1.1 103 Early\r\n\r\n'],
    ['trailers', `${streamHead}${chunked}0\r\n`, 'x-other: 1\r\n'],
    ['the extension of a chunk', `${streamHead}${chunked}1`, ';x=1'],
  ];

  vitest.test.each(answers)(
    'do not delay other requests, nor fill the memory: %s (guards against a gateway that stands still, case 2 of the review)',
    async (_name, start, text) => {
      const script: ReplicaScript = (socket, head) => {
        if (head.startsWith('GET /p/endless')) {
          writeWithoutEnd(socket, start, text);
        } else {
          socket.write(`${signedHead}Content-Length: 2\r\n\r\nok`);
        }
      };
      await using fixture = new ExchangeFixture({ kind: 'stream', timeoutMs: observedMs });
      await fixture.addReplica(script);
      await fixture.open();
      const memoryBytes = process.memoryUsage().rss;
      const endless = Array.from({ length: endlessAnswers }, () => fixture.call({ path: '/p/endless' }, observedMs));
      const durationsMs: Promise<number>[] = [];
      const endMs = performance.now() + observedMs;
      while (performance.now() < endMs) {
        const sentMs = performance.now();
        durationsMs.push(fixture.call().then(() => performance.now() - sentMs));
        await timers.setTimeout(intervalMs);
      }
      const longestMs = Math.max(...(await Promise.all(durationsMs)));
      await Promise.all(endless);
      vitest.expect(longestMs).toBeLessThan(answerLimitMs);
      vitest.expect(process.memoryUsage().rss - memoryBytes).toBeLessThan(memoryLimitBytes);
    },
    30_000,
  );
});
