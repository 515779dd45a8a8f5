import * as fs from 'node:fs/promises';
import * as net from 'node:net';
import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';

const partner = 'solano';
const authorization = `Bearer ${harness.bearerKey('caller', partner)}`;
/** Growth of resident memory that the bad requests of one test may cause, bytes. */
const allowedGrowthBytes = 128 * 1024 * 1024;
const connections = 40;

/** Sends bytes unchanged and returns the status of the answer; 0 if the connection ends without one. */
function sendRaw(port: number, text: string): Promise<number> {
  return new Promise((resolve) => {
    let received = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    const finish = (): void => {
      socket.destroy();
      resolve(Number(/^HTTP\/1\.1 (\d{3})/.exec(received)?.[1] ?? 0));
    };
    socket.on('data', (piece: Buffer) => {
      received += piece.toString('latin1');
      if (received.includes('\r\n')) {
        finish();
      }
    });
    socket.on('error', finish);
    socket.on('close', finish);
  });
}

function requestText(body: string, headers: Readonly<Record<string, string>> = {}): string {
  const all = { host: 'test', authorization, 'content-length': String(Buffer.byteLength(body)), ...headers };
  const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST /v1/chat/completions HTTP/1.1\r\n${lines.join('')}\r\n${body}`;
}

const chat = JSON.stringify({ model: 'walkthrough', messages: [{ role: 'user', content: 'hello' }] });
const depth = 100_000;
const floodHeaders = Object.fromEntries(Array.from({ length: 5_000 }, (_value, index) => [`x-${index}`, 'flood']));

/** Invalid requests with the statuses that must answer them. */
const badRequests: readonly (readonly [string, string, readonly number[]])[] = [
  ['not HTTP', 'nonsense\r\n\r\n', [400]],
  ['two lengths', 'POST /v1/completions HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n', [400]],
  ['JSON that ends early', requestText('{"model":'), [400]],
  ['JSON of the wrong shape', requestText('[1,2,3]'), [400]],
  ['deeply nested lists', requestText('['.repeat(depth) + ']'.repeat(depth)), [400]],
  ['a deeply nested field', requestText(`{"model":"m","extra":${'['.repeat(depth)}${']'.repeat(depth)}}`), [400]],
  ['a body that is announced too large', requestText('', { 'content-length': '99999999999' }), [413]],
  ['a body that is too large', requestText(JSON.stringify({ model: 'x'.repeat(32 * 1024 * 1024) })), [413]],
  ['a flood of headers', requestText(chat, floodHeaders), [431]],
  ['a huge header', requestText(chat, { 'x-huge': 'h'.repeat(1024 * 1024) }), [431]],
  ['a deadline of zero', requestText(chat, { 'x-deadline-ms': '0' }), [400]],
  ['an absurd deadline', requestText(chat, { 'x-deadline-ms': '99999999999999999999' }), [400]],
  ['a deadline that is no number', requestText(chat, { 'x-deadline-ms': 'NaN' }), [400]],
  ['an unknown priority', requestText(chat, { 'x-priority': 'highest' }), [400]],
  ['a wrong key', requestText(chat, { authorization: 'Bearer wrong' }), [401]],
  ['no key', requestText(chat, { authorization: '' }), [401]],
  ['an unknown model', requestText(chat.replace('walkthrough', 'unknown')), [404]],
];

vitest.describe('bad input', () => {
  let cluster: harness.Cluster;

  vitest.beforeAll(async () => {
    cluster = await harness.Cluster.start({
      daemons: 1,
      engines: [{}],
      engine: { 'token-ms': 2 },
      weightStore: { 'bytes-per-second': 1e12 },
    });
    await cluster.operator(partner).setModel('walkthrough', { weightBytes: [20e9] });
  });

  vitest.afterAll(async () => {
    await cluster[Symbol.asyncDispose]();
  });

  async function residentBytes(): Promise<number> {
    const status = await fs.readFile(`/proc/${cluster.daemon(0).process.pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * 1024;
  }

  vitest.test.each(badRequests)(
    '%s gets a clear refusal and the daemon goes on serving (guards against a crash or unbounded memory)',
    async (_name, text, statuses) => {
      const { identity, callersUrl } = cluster.daemon(0);
      const before = await residentBytes();
      const sent = Array.from({ length: connections }, () => sendRaw(identity.ports.callers, text));
      const answers = await Promise.all(sent);
      vitest.expect([...new Set(answers)]).toEqual(statuses);
      vitest.expect((await residentBytes()) - before).toBeLessThan(allowedGrowthBytes);
      const result = await cluster.callers.complete(callersUrl, { partner, model: 'walkthrough' });
      vitest.expect(result, cluster.errorOutput(2_000)).toMatchObject({ outcome: 'complete' });
    },
  );
});
