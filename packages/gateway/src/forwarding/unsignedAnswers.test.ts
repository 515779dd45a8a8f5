import * as vitest from 'vitest';
import type { ReplicaScript } from '../testing/ExchangeFixture.js';
import { eventType, sends, signedAnswer } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';

vitest.describe('a success without a signature', () => {
  const unsigned = signedAnswer.replace('x-other: 1', 'x-unsigned: 1');

  vitest.test.each([
    ['with a length', unsigned],
    ['without a length', unsigned.replace('Content-Length: 5', 'Connection: close')],
    ['in chunks', unsigned.replace('Content-Length: 5', 'Transfer-Encoding: chunked').replace('whole', '0\r\n\r\n')],
    ['without a body', unsigned.replace('200 OK', '204 None').replace('Content-Length: 5\r\n\r\nwhole', '\r\n')],
    ['of a part', unsigned.replace('200 OK', '206 Part')],
    ['after an interim answer', `HTTP/1.1 103 Early\r\nx-attempt: a1\r\n\r\n${unsigned}`],
    ['that says it was not run', unsigned.replace('x-unsigned', 'x-not-run: 1\r\nx-unsigned')],
    [
      'that is a stream',
      unsigned.replace('Content-Length: 5', eventType.trim()).replace('whole', 'id: 1\ndata: x\n\n'),
    ],
  ])('is not passed on: %s (guards against a caller that takes it for a payment)', async (_name, text) => {
    for (const kind of ['nonIdempotent', 'stream'] as const) {
      await withReplicas({ kind }, [sends(text)], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 502 });
      });
    }
  });

  vitest.test('is asked for again at another replica if the request is idempotent', async () => {
    let answers = 0;
    const script: ReplicaScript = (socket) => {
      answers += 1;
      socket.end(answers === 1 ? unsigned : signedAnswer);
    };
    await withReplicas({}, [script, script], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: 'whole', complete: true });
    });
    vitest.expect(answers).toBe(2);
  });

  vitest.test('does not continue a stream (guards against events that no replica signed)', async () => {
    const script: ReplicaScript = (socket, head) => {
      if (head.includes('last-event-id')) {
        socket.end(`HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-unsigned: 1\r\n${eventType}\r\nid: 2\ndata: y\n\n`);
        return;
      }
      socket.write(`HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${eventType}\r\nid: 1\ndata: x\n\n`);
      setTimeout(() => socket.resetAndDestroy(), 20);
    };
    await withReplicas({ kind: 'stream', resumable: true }, [script, script], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ body: 'id: 1\ndata: x\n\n', complete: false });
    });
  });

  vitest.test('may be a failure, which is passed on as it is', async () => {
    const failure = unsigned.replace('200 OK', '404 None');
    await withReplicas({ kind: 'nonIdempotent' }, [sends(failure)], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 404, body: 'whole' });
    });
  });
});
