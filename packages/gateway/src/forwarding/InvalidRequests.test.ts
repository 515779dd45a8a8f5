import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { ExchangeFixture, type ReplicaScript } from '../testing/ExchangeFixture.js';
import { signedAnswer } from '../testing/replicaScripts.js';

const request = 'POST /p/x HTTP/1.1\r\nhost: h\r\nx-attempt: a1\r\ncontent-length: 2\r\n\r\nok';
const incomplete = 'POST /p/x HTTP/1.1\r\nhost: h\r\nx-att';

/** Opens a caller server with a replica that takes a time for each request, milliseconds. */
async function openFixture(runMs: number): Promise<ExchangeFixture> {
  const fixture = new ExchangeFixture({ kind: 'nonIdempotent' });
  fixture.connectionCheckMs = 100;
  const slow: ReplicaScript = (socket) => setTimeout(() => socket.write(signedAnswer), runMs);
  await fixture.addReplica(slow);
  await fixture.open();
  return fixture;
}

/** Sends texts one after another on one connection; resolves with all that comes back once the connection has closed. */
async function exchange(fixture: ExchangeFixture, ...texts: readonly string[]): Promise<string> {
  const socket = fixture.connect();
  let received = '';
  socket.on('data', (bytes) => (received += bytes.toString('latin1')));
  // A reset ends the answer like a close.
  socket.on('error', () => undefined);
  const closed = new Promise((resolve) => socket.once('close', resolve));
  for (const text of texts) {
    socket.write(text);
    await timers.setTimeout(20);
  }
  await Promise.race([closed, timers.setTimeout(3_000)]);
  socket.destroy();
  return received;
}

const statuses = (text: string): readonly string[] =>
  [...text.matchAll(/HTTP\/1.1 (\d+)/g)].map(([, code]) => code ?? '');

vitest.describe('bytes behind a request that a replica runs', () => {
  vitest.test.each([
    ['no request', 'no request\r\n\r\n', 200],
    ['a request with a malformed header', 'GET /p/x HTTP/1.1\r\nho\x01st: h\r\n\r\n', 200],
    ['an incomplete request', incomplete, 2_000],
  ])(
    'do not answer it: %s (guards against a 408 or 400 of the server for a request that runs)',
    async (_name, text, runMs) => {
      await using fixture = await openFixture(runMs);
      const received = await exchange(fixture, request, text);
      vitest.expect(statuses(received)).toEqual(['200']);
      vitest.expect(received).toMatch(/connection: close/i);
      vitest.expect(received.endsWith('whole')).toBe(true);
    },
  );

  vitest.test('do not answer it if they go on and on', async () => {
    await using fixture = await openFixture(500);
    const parts = Array.from({ length: 20 }, () => 'no request\r\n\r\n');
    vitest.expect(statuses(await exchange(fixture, request, ...parts))).toEqual(['200']);
  });

  vitest.test('do not answer the second of two requests', async () => {
    await using fixture = await openFixture(100);
    const received = await exchange(fixture, request + request + incomplete.replace('POST', '{}'));
    vitest.expect(statuses(received)).toEqual(['200', '200']);
  });
});

vitest.describe('the rest of a request that came too late behind another one', () => {
  vitest.test('is not passed on (guards against an answer that is lost with the connection)', async () => {
    await using fixture = await openFixture(2_500);
    const socket = fixture.connect();
    let received = '';
    socket.on('data', (bytes) => (received += bytes.toString('latin1')));
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => socket.once('close', resolve));
    socket.write(request + incomplete);
    await timers.setTimeout(1_800);
    socket.write('empt: a2\r\ncontent-length: 2\r\n\r\nok');
    await closed;
    vitest.expect(statuses(received)).toEqual(['200']);
    vitest.expect(fixture.requestHeads.length).toBe(1);
  });
});

vitest.describe('a request that is not received whole', () => {
  vitest.test.each([
    ['408', incomplete],
    ['400', request.replace('content-length: 2', 'transfer-encoding: chunked').replace('ok', 'no chunk')],
    ['400', 'no request\r\n\r\n'],
    ['431', `GET /p/x HTTP/1.1\r\nx-long: ${'x'.repeat(70_000)}\r\n\r\n`],
  ])('is answered with %s', async (status, text) => {
    await using fixture = await openFixture(0);
    vitest.expect(statuses(await exchange(fixture, text))).toEqual([status]);
    vitest.expect(fixture.requestHeads).toEqual([]);
  });
});
