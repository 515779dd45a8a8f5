import type * as http from 'node:http';
import * as stream from 'node:stream';
import * as vitest from 'vitest';
import { BodyReader } from './BodyReader.js';

function body(...chunks: readonly number[]): http.IncomingMessage {
  const readable = stream.Readable.from(chunks.map((size) => Buffer.alloc(size)));
  return Object.assign(readable, { headers: {} }) as unknown as http.IncomingMessage;
}

vitest.describe('BodyReader', () => {
  vitest.test(
    'limits the buffered bytes per partner and in total (guards against starving others of memory)',
    async () => {
      const reader = new BodyReader(100, 1_000, 100);
      vitest.expect((await reader.read(body(30, 40), 'solano')).ok).toBe(true);
      const refused = await reader.read(body(20), 'solano');
      vitest.expect(refused).toMatchObject({ ok: false, failure: { status: 503, type: 'overloaded', executed: 'no' } });
      vitest.expect((await reader.read(body(20), 'cascade')).ok).toBe(true);
      vitest.expect((await reader.read(body(20), 'cascade')).ok).toBe(false);
      reader.release('solano', 70);
      reader.release('cascade', 20);
      vitest.expect(reader.bufferedBytes).toBe(0);
    },
  );

  vitest.test('refuses a body that exceeds the limit (guards against bodies without a declared length)', async () => {
    const reader = new BodyReader(100);
    const outcome = await reader.read(body(60, 60), 'solano');
    vitest.expect(outcome).toMatchObject({ ok: false, failure: { status: 413 } });
    vitest.expect(reader.bufferedBytes).toBe(0);
  });
});
