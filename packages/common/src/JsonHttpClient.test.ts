import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { JsonHttpClient } from './JsonHttpClient.js';

const timeoutMs = 2_000;

async function listen(server: net.Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return `http://127.0.0.1:${(server.address() as net.AddressInfo).port}/`;
}

vitest.describe('JsonHttpClient', () => {
  vitest.test(
    'withdraws a request if it may no longer be written (guards against orders sent under an expired lease)',
    async () => {
      let requests = 0;
      const server = http.createServer((_request, response) => {
        requests += 1;
        response.end();
      });
      const url = await listen(server);
      await using client = new JsonHttpClient();
      let allowed = true;
      const call = { method: 'POST', url, timeoutMs, body: { order: 1 }, mayWrite: () => allowed } as const;
      vitest.expect(await client.request(call)).toMatchObject({ ok: true });
      const withdrawn = client.request(call);
      allowed = false;
      vitest.expect(await withdrawn).toMatchObject({ ok: false, failure: { kind: 'withdrawn', mayHaveRun: false } });
      await new Promise((resolve) => setTimeout(resolve, 50));
      vitest.expect(requests).toBe(1);
      server.close();
    },
  );

  vitest.test.each([
    ['address', { url: 'http://::1:9/report' }],
    ['header', { url: 'http://127.0.0.1:9/', headers: { 'x-other': 'a\nb' } }],
  ])('reports an invalid %s as a failure (guards against an exception that ends the process)', async (_name, call) => {
    await using client = new JsonHttpClient();
    const outcome = await client.request({ method: 'GET', timeoutMs, ...call });
    vitest.expect(outcome).toMatchObject({ ok: false, failure: { kind: 'invalidRequest', mayHaveRun: false } });
  });

  vitest.test.each(['000', '099', '600', '999'])(
    'takes a response with status %s for none (guards against an order or a report that is trusted)',
    async (status) => {
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', () => socket.write(`HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\n{}`));
      });
      const url = await listen(server);
      await using client = new JsonHttpClient();
      const outcome = await client.request({ method: 'GET', url, timeoutMs });
      vitest.expect(outcome).toMatchObject({ ok: false, failure: { kind: 'broken', mayHaveRun: true } });
      server.close();
    },
  );

  vitest.test(
    'uses no connection that was idle for too long (guards against reads on connections that went silent)',
    async () => {
      const connections = new Set<net.Socket>();
      const server = http.createServer((request, response) => {
        connections.add(request.socket);
        response.end('{}');
      });
      const url = await listen(server);
      await using client = new JsonHttpClient({ maximumIdleMs: 100 });
      const call = { method: 'GET', url, timeoutMs } as const;
      await client.request(call);
      await client.request(call);
      vitest.expect(connections.size).toBe(1);
      await timers.setTimeout(300);
      await client.request(call);
      vitest.expect(connections.size).toBe(2);
      server.close();
    },
  );

  vitest.test('limits the idle time only (guards against long polls that are cut)', async () => {
    const server = http.createServer((_request, response) => {
      setTimeout(() => response.end('{}'), 400);
    });
    const url = await listen(server);
    await using client = new JsonHttpClient({ maximumIdleMs: 100 });
    vitest.expect(await client.request({ method: 'GET', url, timeoutMs })).toMatchObject({ ok: true });
    server.close();
  });

  vitest.test(
    'uses no idle connection after a request without a response (guards against one timeout for each of them)',
    async () => {
      let isSilent = false;
      const silent = new Set<net.Socket>();
      const server = http.createServer((request, response) => {
        if (isSilent && silent.size === 0) {
          for (const socket of sockets) {
            silent.add(socket);
          }
        }
        if (!silent.has(request.socket)) {
          setTimeout(() => response.end('{}'), 50);
        }
      });
      const sockets = new Set<net.Socket>();
      server.on('connection', (socket: net.Socket) => sockets.add(socket));
      const url = await listen(server);
      await using client = new JsonHttpClient();
      const call = { method: 'GET', url, timeoutMs: 300 } as const;
      await Promise.all([1, 2, 3, 4].map(() => client.request(call)));
      isSilent = true;
      vitest.expect(await client.request(call)).toMatchObject({ ok: false, failure: { kind: 'timeout' } });
      vitest.expect(await client.request(call)).toMatchObject({ ok: true });
      server.closeAllConnections();
      server.close();
    },
  );

  vitest.test('bounds the time and memory of a request (guards against responses that never end)', async () => {
    const responseStarts = ['HTTP/1.1 200 OK\r\n', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', ''];
    for (const start of responseStarts) {
      const closed: Promise<void>[] = [];
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.write(start);
        const timer = setInterval(() => socket.write(`10000\r\n${'x'.repeat(0x10000)}\r\n`), 2);
        closed.push(
          new Promise((resolve) => {
            socket.once('close', () => {
              clearInterval(timer);
              resolve();
            });
          }),
        );
      });
      const url = await listen(server);
      await using client = new JsonHttpClient();
      vitest.expect(await client.request({ method: 'GET', url, timeoutMs })).toMatchObject({ ok: false });
      await Promise.all(closed);
      server.close();
    }
  });
});
