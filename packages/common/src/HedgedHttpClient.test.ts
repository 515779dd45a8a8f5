import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { HedgedHttpClient } from './HedgedHttpClient.js';

const timeoutMs = 1_500;
const repetitionMs = 100;

vitest.describe('HedgedHttpClient', () => {
  const silent = new Set<net.Socket>();
  let server: http.Server;
  let sockets: Set<net.Socket>;
  let paths: string[];
  let client: HedgedHttpClient;
  let answered: string[];
  let respond: (request: http.IncomingMessage, response: http.ServerResponse) => void;

  vitest.beforeEach(async () => {
    sockets = new Set();
    paths = [];
    silent.clear();
    respond = (request, response) => response.end(request.url);
    server = http.createServer((request, response) => {
      paths.push(request.url ?? '');
      if (!silent.has(request.socket)) {
        respond(request, response);
      }
    });
    server.on('connection', (socket: net.Socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    client = new HedgedHttpClient();
    answered = [];
    client.onRepeated((repeated) => answered.push(repeated.answered));
  });

  vitest.afterEach(async () => {
    await client[Symbol.asyncDispose]();
    server.closeAllConnections();
    server.close();
  });

  async function send(): Promise<string | undefined> {
    const base = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    const request = { method: 'GET', url: `${base}/first`, timeoutMs } as const;
    const reply = await client.sendIdempotent(request, { afterMs: repetitionMs, url: `${base}/second` });
    return reply.ok ? reply.value.body.toString() : reply.failure.kind;
  }

  vitest.test(
    'repeats a request on a new connection if its own is silent (guards against a silent connection taken for an outage)',
    async () => {
      vitest.expect(await send()).toBe('/first');
      for (const socket of sockets) {
        silent.add(socket);
      }
      const startedMs = performance.now();
      vitest.expect(await send()).toBe('/second');
      vitest.expect(performance.now() - startedMs).toBeLessThan(timeoutMs);
      await timers.setTimeout(50);
      vitest.expect([...sockets].filter((socket) => silent.has(socket))).toEqual([]);
      vitest.expect(await send()).toBe('/first');
      vitest.expect(answered).toEqual(['repetition']);
    },
  );

  vitest.test(
    'repeats a request at once if its connection breaks (guards against a reset taken for an outage)',
    async () => {
      respond = (request, response) => {
        if (request.url === '/first') {
          request.socket.destroy();
        } else {
          response.end('again');
        }
      };
      vitest.expect(await send()).toBe('again');
    },
  );

  vitest.test('sends no repetition of a request that is answered in time (guards against doubled calls)', async () => {
    await send();
    await send();
    await timers.setTimeout(2 * repetitionMs);
    vitest.expect(paths).toEqual(['/first', '/first']);
  });

  vitest.test(
    'takes the first response if both are late (guards against lost responses of a slow server)',
    async () => {
      respond = (request, response) => {
        setTimeout(() => response.end(request.url), 3 * repetitionMs);
      };
      vitest.expect(await send()).toBe('/first');
      vitest.expect(paths).toEqual(['/first', '/second']);
      vitest.expect(answered).toEqual(['first']);
    },
  );

  vitest.test(
    'succeeds after a pause of this process that is longer than the timeout (guards against a pause taken for an outage)',
    async () => {
      await send();
      respond = (request, response) => {
        setTimeout(() => response.end(request.url), 10);
      };
      const reply = send();
      await timers.setTimeout(5);
      const untilMs = performance.now() + timeoutMs + 100;
      while (performance.now() < untilMs);
      vitest.expect(await reply).toMatch(/^\/(first|second)$/);
    },
  );

  vitest.test(
    'fails if the repetition has no response either (guards against an outage that stays unknown)',
    async () => {
      respond = () => undefined;
      const startedMs = performance.now();
      vitest.expect(await send()).toBe('timeout');
      vitest.expect(answered).toEqual(['none']);
      vitest.expect(performance.now() - startedMs).toBeLessThan(timeoutMs + 500);
    },
  );
});
