import * as http from 'node:http';
import * as net from 'node:net';
import * as vitest from 'vitest';
import { PacedRequest } from './PacedRequest.js';

interface Received {
  readonly body: string;
  readonly parts: number;
}

/** Sends a request as text and returns its body as the server received it. */
async function receive(text: string): Promise<Received> {
  const server = http.createServer({ IncomingMessage: PacedRequest });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const received = new Promise<Received>((resolve) => {
    server.on('request', (request, response) => {
      const parts: Buffer[] = [];
      request.on('data', (part: Buffer) => parts.push(part));
      request.on('end', () => {
        resolve({ body: Buffer.concat(parts).toString(), parts: parts.length });
        response.end();
      });
    });
  });
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  socket.end(text);
  const result = await received;
  socket.destroy();
  server.close();
  return result;
}

function chunked(chunks: readonly string[]): string {
  const head = 'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n';
  return `${head}${chunks.map((chunk) => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')}0\r\n\r\n`;
}

vitest.describe('PacedRequest', () => {
  vitest.test('keeps small chunks in few blocks (guards against an object for each byte)', async () => {
    const letters = Array.from({ length: 50_000 }, (_, index) => String.fromCharCode(97 + (index % 26)));
    const received = await receive(chunked(letters));
    vitest.expect(received.body).toBe(letters.join(''));
    vitest.expect(received.parts).toBeLessThan(20);
  });

  vitest.test('keeps the order of small and large chunks (guards against mixed up bodies)', async () => {
    const chunks = Array.from({ length: 400 }, (_, index) =>
      String(index % 10).repeat([1, 3_000, 700, 5_000][index % 4] ?? 1),
    );
    vitest.expect((await receive(chunked(chunks))).body).toBe(chunks.join(''));
  });

  vitest.test('passes on a body of one small part (guards against a request that waits for more)', async () => {
    vitest
      .expect(await receive('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok'))
      .toEqual({ body: 'ok', parts: 1 });
  });
});
