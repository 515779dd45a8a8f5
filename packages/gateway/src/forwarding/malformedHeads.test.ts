import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { ExchangeFixture, type ReplicaScript } from '../testing/ExchangeFixture.js';
import type { Route } from '../Types.js';

const answer = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-other: 1\r\nContent-Length: 5\r\n\r\nwhole';
const eventType = 'Content-Type: text/event-stream\r\n';
const mutationRuns = 300;

const sound: ReplicaScript = (socket) => socket.write(answer);

/** A replica that sends the bytes of `text` and closes the connection. */
function sends(text: string): ReplicaScript {
  return (socket) => void socket.end(Buffer.from(text, 'latin1'));
}

async function withReplicas(
  route: Partial<Route>,
  scripts: readonly ReplicaScript[],
  test: (fixture: ExchangeFixture) => Promise<void>,
): Promise<void> {
  await using fixture = new ExchangeFixture(route);
  for (const script of scripts) {
    await fixture.addReplica(script);
  }
  await fixture.open();
  await test(fixture);
}

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
  ['a control byte in the reason phrase', answer.replace('OK', 'O\x0b')],
  ['status 000', answer.replace('200', '000')],
  ['status 099', answer.replace('200', '099')],
  ['status 700', answer.replace('200', '700')],
  ['a space in the name of a header', answer.replace('x-other', 'x-o her')],
  ['an upgrade', answer.replace('200 OK', '101 OK').replace('x-other: 1', 'Connection: upgrade\r\nUpgrade: x')],
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
      const head = answer.slice(0, answer.indexOf('\r\n\r\n'));
      const position = fastCheck.integer({ min: 0, max: head.length - 1 });
      const byte = fastCheck.integer({ min: 0, max: 255 });
      let mutated = answer;
      const script: ReplicaScript = (socket) => void socket.end(Buffer.from(mutated, 'latin1'));
      await withReplicas({ kind: 'nonIdempotent' }, [script], async (fixture) => {
        await fastCheck.assert(
          fastCheck.asyncProperty(position, byte, async (at, value) => {
            mutated = answer.slice(0, at) + String.fromCharCode(value) + answer.slice(at + 1);
            vitest.expect((await fixture.call()).status).toBeDefined();
          }),
          { numRuns: mutationRuns },
        );
      });
    },
    30_000,
  );
});

vitest.describe('a success without a signature', () => {
  const unsigned = answer.replace('x-other: 1', 'x-unsigned: 1');

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
      socket.end(answers === 1 ? unsigned : answer);
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
