import * as vitest from 'vitest';
import type { ReplicaScript } from '../testing/ExchangeFixture.js';
import { withReplicas } from '../testing/withReplicas.js';

const ok = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n';
const eventType = 'Content-Type: text/event-stream\r\n';
const refusal = 'HTTP/1.1 503 Full\r\nx-attempt: a1\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n';
const events = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_none, index) => `id: ${from + index}\ndata: x\n\n`).join('');
const stream = { kind: 'stream', resumable: false } as const;
const resumableStream = { kind: 'stream', resumable: true } as const;

vitest.describe('a refusal that a faulty replica repeats for the same attempt', () => {
  vitest.test(
    'is not taken for the answer to the next send (guards against a promise for a request that runs)',
    async () => {
      let requests = 0;
      let runs = 0;
      const repeats: ReplicaScript = (socket) => {
        requests += 1;
        const isReused = socket.bytesWritten > 0;
        if (requests === 1) {
          socket.write(refusal);
          return;
        }
        runs += 1;
        if (isReused) {
          socket.write(refusal);
        }
        setTimeout(() => socket.write(`${ok}Content-Length: 5\r\n\r\nwhole`), 30);
      };
      await withReplicas(stream, [repeats], async (fixture) => {
        const response = await fixture.call({ headers: { 'x-model': 'm' } });
        vitest.expect(response).toMatchObject({ status: 200, body: 'whole', complete: true });
        vitest.expect(runs).toBe(1);
      });
    },
  );
});

vitest.describe('a stream that broke off after its first events', () => {
  const breaks: ReplicaScript = (socket) => {
    socket.write(`${ok}${eventType}\r\n${events(1, 2)}`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  vitest.test.each([
    { name: 'another type', answer: `${ok}Content-Type: application/json\r\nContent-Length: 9\r\n\r\n{"e":"x"}` },
    { name: 'another type and nothing in it', answer: `${ok}Content-Type: text/plain\r\nContent-Length: 0\r\n\r\n` },
    { name: 'a client error', answer: 'HTTP/1.1 404 None\r\nx-attempt: a1\r\nContent-Length: 4\r\n\r\nnone' },
    { name: 'a server error', answer: 'HTTP/1.1 500 Bad\r\nx-attempt: a1\r\nContent-Length: 4\r\n\r\noops' },
    { name: 'no content', answer: 'HTTP/1.1 204 None\r\nx-attempt: a1\r\n\r\n' },
  ])('gets nothing of an answer with $name (guards against an error in the middle of a stream)', async ({ answer }) => {
    const script: ReplicaScript = (socket, head) => {
      if (head.includes('last-event-id')) {
        socket.write(answer);
      } else {
        breaks(socket, head);
      }
    };
    await withReplicas(resumableStream, [script, script], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: events(1, 2), complete: false });
    });
  });
});

vitest.describe('a replica that stops in the middle of the head of its answer', () => {
  const heads = [
    'HTTP/1.1 200 OK\r\n',
    'HTTP/1.1 200 OK\r\nx-att',
    `${ok}Content-Le`,
    `${ok}Content-Length: 5`,
    `${ok}Content-Length: 5\r\n`,
    `${ok}Content-Length: 0\r\n`,
    `${ok}Transfer-Encoding: chunked\r\n`,
    ok,
  ];
  const ends: readonly (readonly [string, ReplicaScript])[] = heads.flatMap((head) => [
    [`${JSON.stringify(head.slice(-12))} and closes`, (socket): void => void socket.end(head)] as const,
    [
      `${JSON.stringify(head.slice(-12))} and resets`,
      (socket): void => {
        socket.write(head);
        setTimeout(() => socket.resetAndDestroy(), 10);
      },
    ] as const,
  ]);
  vitest.test.each(ends)(
    'after %s gives no success (guards against empty answers framed as whole)',
    async (_name, script) => {
      for (const kind of ['nonIdempotent', 'stream'] as const) {
        await withReplicas({ kind }, [script], async (fixture) => {
          vitest.expect(await fixture.call()).toMatchObject({ status: 502 });
        });
      }
    },
  );
});

vitest.describe('a stream without a length or chunks', () => {
  vitest.test.each([
    ['after half a line', `${events(1, 2)}id: 3\nda`],
    ['after a line', `${events(1, 2)}id: 3\ndata: x\n`],
    ['after half of a mixed line end', `${events(1, 2)}id: 3\r\ndata: x\r\n`],
    ['before its first event is complete', 'id: 1\ndata'],
  ])('that ends %s does not look complete (guards against truncated streams)', async (_name, body) => {
    const closes: ReplicaScript = (socket) => socket.end(`${ok}${eventType}Connection: close\r\n\r\n${body}`);
    await withReplicas(stream, [closes], async (fixture) => {
      const response = await fixture.call();
      vitest.expect(response.status === 200 && response.complete, JSON.stringify(response)).toBe(false);
    });
  });

  vitest.test('that ends inside an event is resumed after its last complete event', async () => {
    const closes: ReplicaScript = (socket, head) => {
      const body = head.includes('last-event-id: 2') ? events(3, 4) : `${events(1, 2)}id: 3\nda`;
      socket.end(`${ok}${eventType}Connection: close\r\n\r\n${body}`);
    };
    await withReplicas(resumableStream, [closes, closes], async (fixture) => {
      vitest.expect(await fixture.call()).toMatchObject({ status: 200, body: events(1, 4), complete: true });
    });
  });

  vitest.test.each([
    ['LF', '\n\n'],
    ['CRLF', '\r\n\r\n'],
    ['CR', '\r\r'],
    ['mixed line ends', '\n\r\n'],
  ])('is complete and sent on event by event with %s (guards against streams held back)', async (_name, end) => {
    let first = '';
    const slow: ReplicaScript = (socket) => {
      socket.write(`${ok}${eventType}Connection: close\r\n\r\ndata: 1${end}`);
      setTimeout(() => socket.end(`data: 2${end}`), 150);
    };
    await withReplicas(stream, [slow], async (fixture) => {
      const response = await fixture.call({}, undefined, (text) => (first ||= text));
      vitest.expect(response).toMatchObject({ status: 200, body: `data: 1${end}data: 2${end}`, complete: true });
      vitest.expect(first).toBe(`data: 1${end}`);
    });
  });
});
