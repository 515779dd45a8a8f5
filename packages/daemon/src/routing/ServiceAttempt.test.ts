import * as net from 'node:net';
import * as vitest from 'vitest';
import { callService, type ServiceAttemptEnd } from './ServiceAttempt.js';

const timeoutMs = 2_000;
const answer = 'HTTP/1.1 200 OK\r\nx-other: 1\r\nContent-Length: 5\r\n\r\nwhole';

/** Calls a service that sends the given bytes. */
async function callServiceThatSends(text: string): Promise<ServiceAttemptEnd> {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => socket.end(Buffer.from(text, 'latin1')));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  const request = { method: 'POST', path: '/pay', headers: {}, body: Buffer.alloc(0) };
  const end = await callService(`127.0.0.1:${port}`, request, { timeoutMs, beforeWrite: () => true });
  server.close();
  return end;
}

vitest.describe('callService', () => {
  vitest.test('returns a well-formed answer', async () => {
    vitest.expect(await callServiceThatSends(answer)).toMatchObject({ kind: 'answered' });
  });

  vitest.test.each([
    ['a control byte in the reason phrase', answer.replace('OK', 'O\x0b')],
    ['status 000', answer.replace('200', '000')],
    ['status 099', answer.replace('200', '099')],
    ['status 600', answer.replace('200', '600')],
    ['status 999', answer.replace('200', '999')],
    ['a space in the name of a header', answer.replace('x-other', 'x-o her')],
    ['an upgrade', answer.replace('200 OK', '101 OK').replace('x-other: 1', 'Connection: upgrade\r\nUpgrade: x')],
  ])('reports %s as broken (guards against an answer that ends the daemon when it is sent on)', async (_name, text) => {
    const startedMs = Date.now();
    vitest.expect(await callServiceThatSends(text)).toMatchObject({ kind: 'broken' });
    vitest.expect(Date.now() - startedMs).toBeLessThan(timeoutMs / 2);
  });
});
