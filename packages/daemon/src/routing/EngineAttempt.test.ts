import type * as http from 'node:http';
import * as net from 'node:net';
import * as common from '@jayhaven/common';
import * as vitest from 'vitest';
import { expectedText, FrontFixture } from '../front/testing/FrontFixture.js';

vitest.describe('EngineAttempt', () => {
  vitest.test(
    'aborts an attempt at an unresponsive, unreachable target (guards against waiting for a reclaimed VM)',
    async () => {
      await using fixture = await FrontFixture.open();
      const unresponsive = await fixture.addEngine('vm-1', true);
      await fixture.setFaults(unresponsive, { silent: true });
      const target = `127.0.0.1:${unresponsive.port}`;
      const response = fixture.chat('p', { headers: { 'x-deadline-ms': '20000' } });
      await vitest.vi.waitFor(() => {
        vitest.expect(fixture.events.some(({ event }) => event === 'dispatched')).toBe(true);
      });
      await fixture.addEngine('vm-2', true);
      const load = { sequence: 1, running: 0, waiting: 0, slots: 8 };
      fixture.digests.set(target, { target, ...load, reachable: false });
      const startMs = performance.now();
      vitest.expect((await response).text).toContain(expectedText('p'));
      vitest.expect(performance.now() - startMs).toBeLessThan(4_000);
    },
  );

  vitest.test(
    'distinguishes a closed keep-alive connection from a failure (guards against false failures)',
    async () => {
      await using fixture = await FrontFixture.open();
      const usedSockets = new WeakSet<net.Socket>();
      let closed = 0;
      await openEngine(fixture, (request, response) => {
        if (usedSockets.has(request.socket)) {
          closed += 1;
          request.socket.destroy();
          return;
        }
        usedSockets.add(request.socket);
        common.sendJson(response, 200, { id: request.headers['x-request-id'], choices: [] });
      });
      for (let round = 0; round < 6; round += 1) {
        vitest.expect((await fixture.chat('p')).status).toBe(200);
      }
      vitest.expect(closed).toBeGreaterThan(0);
      vitest.expect(fixture.events.filter(({ event }) => event === 'attemptFailed')).toEqual([]);
    },
  );

  vitest.test(
    'a server error for one request does not open the breaker (guards against poisonous requests)',
    async () => {
      await using fixture = await FrontFixture.open();
      await openEngine(fixture, (request, response) => {
        let body = '';
        request.on('data', (chunk: Buffer) => (body += chunk.toString()));
        request.on('end', () => {
          const status = body.includes('poison') ? 500 : 200;
          common.sendJson(response, status, { id: request.headers['x-request-id'], choices: [] });
        });
      });
      const poison = await fixture.chat('poison');
      vitest.expect(poison.status).toBe(502);
      vitest.expect(poison.text).toContain('"executed":"unknown"');
      const startMs = performance.now();
      vitest.expect((await fixture.chat('fine')).status).toBe(200);
      vitest.expect(performance.now() - startMs).toBeLessThan(1_000);
    },
  );

  vitest.test.each([400, 404, 429, 503])(
    'takes no repeated %i for the answer to the next request (guards against "executed: no" for a request that runs)',
    async (status) => {
      await using fixture = await FrontFixture.open();
      const ids: string[] = [];
      let refusal = '';
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', (bytes) => {
          const id = /x-request-id: (\S+)/i.exec(bytes.toString())?.[1] ?? '';
          ids.push(id);
          const head = `content-type: application/json\r\nx-request-id: ${id}\r\ncontent-length:`;
          if (ids.length === 1) {
            refusal = `HTTP/1.1 ${status} Refused\r\n${head} 2\r\n\r\n{}`;
            socket.write(refusal);
            return;
          }
          if (socket.bytesWritten > 0 && refusal !== '') {
            socket.write(refusal);
            refusal = '';
          }
          const body = JSON.stringify({ id, choices: [] });
          setTimeout(() => socket.write(`HTTP/1.1 200 OK\r\n${head} ${body.length}\r\n\r\n${body}`), 30);
        });
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const { port } = server.address() as net.AddressInfo;
      fixture.register(() => void server.close());
      fixture.controlPlane.setVm('vm-1', 'live', { address: `127.0.0.1:${port}` });
      fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1' });
      await fixture.chat('p');
      vitest.expect((await fixture.chat('p')).status).toBe(200);
      const reasons = fixture.events
        .filter(({ event }) => event === 'attemptFailed')
        .map(({ detail }) => detail?.reason);
      vitest.expect(reasons).toEqual(['foreignAnswer']);
    },
  );

  vitest.test.each(['000', '099', '600', '999'])(
    'fails at a response with status %s (guards against a refusal or a server error that is trusted)',
    async (status) => {
      await using fixture = await FrontFixture.open();
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', (bytes) => {
          const id = /x-request-id: (\S+)/i.exec(bytes.toString())?.[1] ?? '';
          socket.end(`HTTP/1.1 ${status} OK\r\nx-request-id: ${id}\r\ncontent-length: 2\r\n\r\n{}`);
        });
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const { port } = server.address() as net.AddressInfo;
      fixture.register(() => void server.close());
      fixture.controlPlane.setVm('vm-1', 'live', { address: `127.0.0.1:${port}` });
      fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1' });
      vitest.expect((await fixture.chat('p')).status).toBe(502);
      const [failed] = fixture.events.filter(({ event }) => event === 'attemptFailed');
      vitest.expect(failed?.detail?.reason).toBe(`the answer has an invalid status ${Number(status)}`);
    },
  );

  const brokenResponses = [
    ['truncated', 'HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{"id":"'],
    ['not JSON', 'HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes'],
    ['not HTTP', 'hello\r\n\r\n'],
    ['too large in its headers', `HTTP/1.1 200 OK\r\nx: ${'a'.repeat(100_000)}`],
  ] as const;
  vitest.test.each(brokenResponses)(
    'never forwards a response that is %s (guards against partial responses)',
    async (_, bytes) => {
      await using fixture = await FrontFixture.open();
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.once('data', () => socket.end(bytes));
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      fixture.register(
        () =>
          new Promise<void>((resolve) =>
            server.close(() => {
              resolve();
            }),
          ),
      );
      fixture.controlPlane.setVm('vm-1', 'live', {
        address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
      });
      fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1' });
      const response = await fixture.chat('p', { headers: { 'x-deadline-ms': '4000' } });
      vitest.expect([502, 504]).toContain(response.status);
      vitest.expect(response.text).toContain('"executed":"');
      vitest.expect(response.text).not.toContain('"executed":"no"');
    },
  );
});

/** Starts an engine that responds with `handler` and has the model `solano/walk` ready. */
async function openEngine(fixture: FrontFixture, handler: http.RequestListener): Promise<void> {
  const listener = fixture.register(await common.HttpListener.open({ host: '127.0.0.1', port: 0 }, handler));
  fixture.register(() => {
    listener.closeAllConnections();
  });
  fixture.controlPlane.setVm('vm-1', 'live', { address: `127.0.0.1:${listener.port}` });
  fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1' });
}
