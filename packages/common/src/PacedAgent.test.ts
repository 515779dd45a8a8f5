import * as http from 'node:http';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { PacedAgent } from './PacedAgent.js';

const settledMs = 200;
/** Parts that may be parsed while nobody reads them; their parsing takes a few milliseconds. */
const maximumUnreadParts = 2_000;

async function listen(server: net.Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as net.AddressInfo).port;
}

function get(port: number, agent: http.Agent): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    http.get({ host: '127.0.0.1', port, agent }, resolve).on('error', reject);
  });
}

vitest.describe('PacedAgent', () => {
  vitest.test('parses few parts ahead (guards against a process that stands still for one answer)', async () => {
    const server = net.createServer((socket) => {
      socket.once('data', () => {
        socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
        socket.write('1\r\nx\r\n'.repeat(100_000));
      });
      socket.on('error', () => undefined);
    });
    const agent = new PacedAgent();
    const response = await get(await listen(server), agent);
    await vitest.vi.waitUntil(() => response.readableLength > 0, { timeout: 5_000 });
    await timers.setTimeout(settledMs);
    vitest.expect(response.readableLength).toBeLessThan(maximumUnreadParts);
    response.on('error', () => undefined);
    response.destroy();
    agent.destroy();
    server.close();
  });

  vitest.test('reads whole bodies on one connection (guards against bytes lost between reads)', async () => {
    const connections = new Set<net.Socket>();
    const bodies = [0, 1, 4_095, 4_096, 4_097, 3_000_000].map((length) => Buffer.alloc(length, 'jayhaven '));
    const server = http.createServer((request, response) => {
      connections.add(request.socket);
      response.end(bodies[Number(request.headers['x-body'])]);
    });
    const port = await listen(server);
    const agent = new PacedAgent({ keepAlive: true });
    for (const [index, body] of bodies.entries()) {
      const received = await new Promise<Buffer>((resolve, reject) => {
        const options = { host: '127.0.0.1', port, agent, headers: { 'x-body': String(index) } };
        http.get(options, (response) => {
          response.toArray().then((parts: Buffer[]) => {
            resolve(Buffer.concat(parts));
          }, reject);
        });
      });
      vitest.expect(received.equals(body)).toBe(true);
    }
    vitest.expect(connections.size).toBe(1);
    agent.destroy();
    server.close();
  });

  vitest.test(
    'closes a connection on which bytes arrive between requests (guards against answers of no request)',
    async () => {
      const connections: net.Socket[] = [];
      const server = http.createServer((request, response) => {
        connections.push(request.socket);
        response.end();
      });
      const port = await listen(server);
      const agent = new PacedAgent({ keepAlive: true });
      const idle = (): number => Object.values(agent.freeSockets).flat().length;
      const response = await get(port, agent);
      response.resume();
      await vitest.vi.waitUntil(() => idle() === 1);
      connections[0]?.write('HTTP/1.1 409 Extra\r\n');
      await vitest.vi.waitUntil(() => idle() === 0);
      (await get(port, agent)).resume();
      vitest.expect(new Set(connections).size).toBe(2);
      agent.destroy();
      server.close();
    },
  );
});
