import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { ExchangeFixture, type ReplicaScript } from '../testing/ExchangeFixture.js';
import { eventType, sends, signedAnswer } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';

const mutationRuns = 300;

const sound: ReplicaScript = (socket) => socket.write(signedAnswer);

/** Sends the bytes of a request and resolves with the first line of the response; empty if there is none. */
function sendBytes(fixture: ExchangeFixture, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = fixture.connect();
    let received = '';
    socket.on('data', (bytes) => {
      received += bytes.toString('latin1');
      socket.end();
    });
    // A connection that the server resets gives no response.
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received.split('\r\n')[0] ?? '');
    });
    socket.write(Buffer.from(text, 'latin1'));
    setTimeout(() => socket.destroy(), 300);
  });
}

const malformedAnswers: readonly (readonly [string, string])[] = [
  ['a control byte in the reason phrase', signedAnswer.replace('OK', 'O\x0b')],
  ['status 000', signedAnswer.replace('200', '000')],
  ['status 099', signedAnswer.replace('200', '099')],
  ['status 600', signedAnswer.replace('200', '600')],
  ['status 700', signedAnswer.replace('200', '700')],
  ['status 999', signedAnswer.replace('200', '999')],
  ['a space in the name of a header', signedAnswer.replace('x-other', 'x-o her')],
  ['an upgrade', signedAnswer.replace('200 OK', '101 OK').replace('x-other: 1', 'Connection: upgrade\r\nUpgrade: x')],
];

vitest.describe('an answer with a malformed head', () => {
  vitest.test.each(malformedAnswers)(
    'is not sent on: %s (guards against a gateway that ends at it with the requests of all callers)',
    async (_name, text) => {
      for (const kind of ['nonIdempotent', 'stream'] as const) {
        await withReplicas({ kind }, [sends(text)], async (fixture) => {
          vitest.expect(await fixture.call()).toMatchObject({ status: 502 });
        });
      }
      await withReplicas({}, [sends(text), sends(text), sends(text), sound], async (fixture) => {
        const responses = await Promise.all(Array.from({ length: 12 }, () => fixture.call()));
        vitest.expect(responses.filter(({ status }) => status !== 200 && status !== 502)).toEqual([]);
      });
    },
  );

  vitest.test(
    'of any kind ends only its own request (guards against a gateway that ends at a byte from a replica)',
    async () => {
      const head = signedAnswer.slice(0, signedAnswer.indexOf('\r\n\r\n'));
      const position = fastCheck.integer({ min: 0, max: head.length - 1 });
      const byte = fastCheck.integer({ min: 0, max: 255 });
      let mutated = signedAnswer;
      const script: ReplicaScript = (socket) => void socket.end(Buffer.from(mutated, 'latin1'));
      await withReplicas({ kind: 'nonIdempotent' }, [script], async (fixture) => {
        await fastCheck.assert(
          fastCheck.asyncProperty(position, byte, async (at, value) => {
            mutated = signedAnswer.slice(0, at) + String.fromCharCode(value) + signedAnswer.slice(at + 1);
            vitest.expect((await fixture.call()).status).toBeDefined();
          }),
          { numRuns: mutationRuns },
        );
      });
    },
    30_000,
  );
});

vitest.describe('a stream with an event identifier that cannot stand in a header', () => {
  vitest.test('is resumed after the event before it (guards against a gateway that ends when it resumes)', async () => {
    const breaks: ReplicaScript = (socket, head) => {
      if (head.includes('last-event-id: 1')) {
        socket.end(`HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${eventType}\r\nid: 2\ndata: x\n\n`);
        return;
      }
      socket.write(`HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${eventType}\r\nid: 1\ndata: x\n\n`);
      setTimeout(() => socket.write('id: 2\x0b\ndata: x\n\n'), 20);
      setTimeout(() => socket.resetAndDestroy(), 60);
    };
    await withReplicas({ kind: 'stream', resumable: true }, [breaks, breaks], async (fixture) => {
      const body = 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n';
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body, complete: true });
    });
  });
});

vitest.describe('a request with a malformed head', () => {
  const request = 'GET /p/x HTTP/1.1\r\nHost: h\r\nx-attempt: a1\r\nx-other: 1\r\n\r\n';

  vitest.test.each([
    ['a tab in the path', request.replace('/p/x', '/p/\tx')],
    ['a space in the name of a header', request.replace('x-other', 'x-o her')],
  ])('is refused: %s (guards against a gateway that ends when it sends the request on)', async (_name, text) => {
    await withReplicas({}, [sound], async (fixture) => {
      vitest.expect(await sendBytes(fixture, text)).toMatch(/^HTTP\/1.1 400 /);
      vitest.expect(await fixture.call()).toMatchObject({ status: 200 });
    });
  });

  vitest.test(
    'of any kind ends only itself (guards against a gateway that ends at a byte from a caller)',
    async () => {
      const position = fastCheck.integer({ min: 0, max: request.length - 1 });
      const byte = fastCheck.integer({ min: 0, max: 255 });
      await withReplicas({}, [sound], async (fixture) => {
        const mutations = fastCheck.sample(fastCheck.tuple(position, byte), mutationRuns);
        await Promise.all(
          mutations.map(([at, value]) =>
            sendBytes(fixture, request.slice(0, at) + String.fromCharCode(value) + request.slice(at + 1)),
          ),
        );
        vitest.expect(await fixture.call()).toMatchObject({ status: 200 });
      });
    },
    30_000,
  );
});
