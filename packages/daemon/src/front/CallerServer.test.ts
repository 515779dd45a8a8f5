import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { FrontFixture, solanoKey } from './testing/FrontFixture.js';

const head = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${solanoKey}\r\n`;

/** Sends raw bytes and returns the bytes received until the connection closes, or for two seconds. */
async function exchange(port: number, bytes: string): Promise<string> {
  const socket = net.connect(port, '127.0.0.1');
  let received = '';
  socket.on('data', (data) => (received += data.toString()));
  socket.on('error', () => undefined);
  socket.write(bytes);
  await Promise.race([new Promise((resolve) => socket.on('close', resolve)), timers.setTimeout(2_000)]);
  socket.destroy();
  return received;
}

/** Invalid requests with the expected status. */
const invalidRequests: readonly (readonly [string, string, number])[] = [
  ['a request that is not HTTP', 'hello\r\n\r\n', 400],
  ['too many header bytes', `${head}x: ${'a'.repeat(20_000)}\r\n\r\n`, 431],
  ['two content lengths', `${head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`, 400],
  [
    'a content length with chunked encoding',
    `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    400,
  ],
  ['a huge declared body', `${head}content-length: 99999999999\r\nconnection: close\r\n\r\n`, 413],
  ['a tab in the path', `${head.replace('completions', 'comp\tletions')}content-length: 0\r\n\r\n`, 400],
  ['a space in the name of a header', `${head}x y: 1\r\ncontent-length: 0\r\n\r\n`, 400],
  ['CONNECT', 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n', 405],
];

vitest.describe('CallerServer', () => {
  vitest.test.each(invalidRequests)(
    'answers %s with a typed error (guards against a crash of the daemon)',
    async (_, bytes, status) => {
      await using fixture = await FrontFixture.open();
      const received = await exchange(fixture.front.port, bytes);
      vitest.expect(received).toContain(`HTTP/1.1 ${status}`);
      vitest.expect(received).toContain('"executed":"no"');
      vitest.expect((await fixture.send({ path: '/healthz' })).status).toBe(200);
    },
  );

  vitest.test.each([
    ['bytes that are not HTTP', 'hello\r\n\r\n'],
    ['CONNECT', 'CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\n'],
    ['an incomplete request', 'POST /v1/chat'],
  ])(
    'does not answer a running request for %s behind it (guards against "executed: no" for a request that runs)',
    async (_, bytes) => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-1', true, { firstTokenMs: 300 });
      const body = JSON.stringify({ model: 'walk', messages: [{ role: 'user', content: 'p' }] });
      const request = `${head}content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
      const received = await exchange(fixture.front.port, request + bytes);
      vitest.expect(received).not.toContain('"executed":"no"');
      vitest.expect(received.match(/HTTP\/1.1 \d+/g) ?? []).toEqual(['HTTP/1.1 200']);
    },
  );

  vitest.test('refuses invalid headers, bodies, keys and paths (guards against unclear errors)', async () => {
    await using fixture = await FrontFixture.open();
    const path = '/v1/chat/completions';
    const body = { model: 'walk', messages: [{ role: 'user', content: 'p' }] };
    const cases = [
      [{ path, body, headers: { authorization: 'Bearer wrong' } }, 401, 'unauthorized'],
      [{ path, body, headers: { 'x-deadline-ms': '0' } }, 400, 'invalid_header'],
      [{ path, body, headers: { 'x-deadline-ms': '1e3' } }, 400, 'invalid_header'],
      [{ path, body, headers: { 'x-deadline-ms': '99999999999' } }, 400, 'invalid_header'],
      [{ path, body, headers: { 'x-priority': 'urgent' } }, 400, 'invalid_header'],
      [{ path, body, headers: { 'x-request-id': 'a b' } }, 400, 'invalid_header'],
      [{ path, body: '{"model":' }, 400, 'invalid_body'],
      [{ path, body: '[]' }, 400, 'invalid_body'],
      [{ path, body: { model: 'walk', messages: 'p' } }, 400, 'invalid_body'],
      [{ path, body: { ...body, model: 'unknown' } }, 404, 'model_not_found'],
      [{ path, body: { ...body, model: 'walk:unknown' } }, 404, 'model_not_found'],
      [{ path, body: { ...body, model: 'cascade/walk' } }, 404, 'model_not_found'],
      [{ path, body: { ...body, model: '__proto__' } }, 404, 'model_not_found'],
      [{ path, body: 'x'.repeat(70_000) }, 413, 'body_too_large'],
      [{ path, method: 'GET' }, 405, 'method_not_allowed'],
      [{ path: '/nothing', body }, 404, 'not_found'],
      [{ path: '/services/none/x', body }, 404, 'service_not_found'],
    ] as const;
    for (const [request, status, type] of cases) {
      const response = await fixture.send(request);
      vitest.expect(response.status, JSON.stringify(request).slice(0, 100)).toBe(status);
      vitest.expect(JSON.parse(response.text)).toMatchObject({ error: { type, executed: 'no' } });
    }
    vitest.expect(fixture.front.status().inFlight).toBe(0);
  });

  vitest.test('refuses a body that is sent too slowly (guards against occupied connections)', async () => {
    await using fixture = await FrontFixture.open();
    const received = await exchange(fixture.front.port, `${head}x-deadline-ms: 300\r\ncontent-length: 100\r\n\r\n{`);
    vitest.expect(received).toContain('HTTP/1.1 408');
    vitest.expect(fixture.front.status().inFlight).toBe(0);
  });

  vitest.test('lists only the models of the partner (guards against leaked names)', async () => {
    await using fixture = await FrontFixture.open();
    fixture.controlPlane.configure('solano/adapters/walk/tents', { bytes: 5 });
    const ids = async (key: string): Promise<string[]> => {
      const response = await fixture.send({ path: '/v1/models', headers: { authorization: `Bearer ${key}` } });
      return (JSON.parse(response.text) as { readonly data: { readonly id: string }[] }).data.map(({ id }) => id);
    };
    vitest.expect(await ids(solanoKey)).toEqual(['solano/walk', 'solano/walk:tents']);
    vitest.expect(await ids('cascade-key')).toEqual([]);
  });
});
