import * as vitest from 'vitest';
import type { ReplicaScript } from '../testing/ExchangeFixture.js';
import { events, notExecutedHead, responds, signedHead, writeRepeatedly } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';

vitest.describe('endless bytes (guards against connections, memory and callers that are never released)', () => {
  const endless: readonly (readonly [string, string, string])[] = [
    ['that are no HTTP response', '', 'garbage'],
    ['in the head of a response', signedHead, `x-more: ${'x'.repeat(2_000)}\r\n`],
    ['in interim responses', '', 'HTTP/1.1 100 Continue\r\n\r\n'],
  ];
  for (const [where, start, more] of endless) {
    vitest.test(`${where} end the attempt and its connection`, async () => {
      const closed: Promise<void>[] = [];
      const script: ReplicaScript = (socket) => {
        socket.write(start);
        closed.push(writeRepeatedly(socket, more));
      };
      await withReplicas({ kind: 'nonIdempotent' }, [script], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 502, complete: true });
        await Promise.all(closed);
        vitest.expect(closed.length).toBe(1);
      });
    });
  }

  vitest.test('in the body of a refusal close the connection, and the request is retried', async () => {
    const closed: Promise<void>[] = [];
    const refuses: ReplicaScript = (socket) => {
      socket.write(`${notExecutedHead}Transfer-Encoding: chunked\r\n\r\n`);
      closed.push(writeRepeatedly(socket, `1000\r\n${'x'.repeat(4_096)}\r\n`));
    };
    await withReplicas({ kind: 'nonIdempotent' }, [refuses, responds], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole' });
      await Promise.all(closed);
      vitest.expect(closed.length).toBe(1);
    });
  });

  vitest.test('in an event of a stream cause the stream to be resumed at another replica', async () => {
    const closed: Promise<void>[] = [];
    const script: ReplicaScript = (socket) => {
      socket.write(`${signedHead}Transfer-Encoding: chunked\r\n\r\n`);
      closed.push(writeRepeatedly(socket, `40000\r\n${'x'.repeat(0x40000)}\r\n`));
    };
    const good: ReplicaScript = (socket) => {
      const body = events(1, 3);
      socket.write(`${signedHead}Content-Length: ${body.length}\r\n\r\n${body}`);
    };
    const route = { kind: 'stream', resumable: true, eventGapMs: 600 } as const;
    await withReplicas(route, [script, good], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: events(1, 3), complete: true });
      await Promise.all(closed);
    });
  });

  vitest.test(
    'in a request are read for a limited time after the response, then the connection is closed',
    async () => {
      await withReplicas({ kind: 'idempotent' }, [responds], async (fixture) => {
        const socket = fixture.connect();
        socket.write('POST /p/x HTTP/1.1\r\nhost: h\r\nx-attempt: a1\r\nTransfer-Encoding: chunked\r\n\r\n');
        let response = '';
        socket.on('data', (bytes) => (response += bytes.toString()));
        socket.on('error', () => undefined);
        await writeRepeatedly(socket, `40\r\n${'x'.repeat(64)}\r\n`);
        vitest.expect(response).toContain('413');
        vitest.expect(fixture.requestHeads).toEqual([]);
      });
    },
  );
});
