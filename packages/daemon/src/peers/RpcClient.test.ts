import * as net from 'node:net';
import * as vitest from 'vitest';
import { RpcClient } from './RpcClient.js';
import { TrafficCounter } from './TrafficCounter.js';

vitest.describe('RpcClient', () => {
  vitest.test.each(['000', '099', '600', '999'])(
    'takes a response with status %s for none (guards against results that are trusted)',
    async (status) => {
      const server = net.createServer((socket) => {
        socket.on('error', () => undefined);
        socket.on('data', (bytes) => {
          const id = /"id":([^,}]+)/.exec(bytes.toString())?.[1] ?? '1';
          const body = `{"jsonrpc":"2.0","id":${id},"result":true}`;
          socket.write(`HTTP/1.1 ${status} OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        });
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const { port } = server.address() as net.AddressInfo;
      await using client = new RpcClient(new TrafficCounter());
      const outcome = await client.call({ host: '127.0.0.1', port }, 'm', {}, 2_000);
      vitest.expect(outcome).toMatchObject({ ok: false, failure: { kind: 'unreachable' } });
      server.close();
    },
  );
});
