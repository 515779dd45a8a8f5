import type * as net from 'node:net';
import * as vitest from 'vitest';
import { ExchangeFixture } from '../testing/ExchangeFixture.js';
import { notExecutedHead, signedAnswer } from '../testing/replicaScripts.js';

const stream = { kind: 'stream', resumable: false } as const;
const toModel = { headers: { 'x-model': 'm' } };
const notExecuted = `${notExecutedHead}Content-Length: 0\r\n\r\n`;
const otherReplica = 'HTTP/1.1 421 Other\r\nx-attempt: a1\r\nContent-Length: 0\r\n\r\n';
/** Time that a replica takes for a request, milliseconds; longer than the copy of a refusal takes to arrive. */
const runMs = 30;
/** Time after a refusal at which the address passes to another replica, while the request waits, milliseconds. */
const replacedAfterMs = 30;

/** Runs a request after a time. */
function runs(socket: net.Socket): void {
  setTimeout(() => socket.write(signedAnswer), runMs);
}

vitest.describe('the copy of a refusal, on a kept connection to an address that passes to another replica', () => {
  vitest.test.each([
    ['421', otherReplica],
    ['503', notExecuted],
  ])(
    'is not taken for the answer of the other replica: %s (guards against a promise for a request that runs)',
    async (_name, refusal) => {
      await using fixture = new ExchangeFixture(stream);
      let sends = 0;
      await fixture.addReplica((socket) => {
        sends += 1;
        if (sends === 1) {
          socket.write(refusal);
          setTimeout(() => {
            fixture.replaceRecord('r0');
          }, replacedAfterMs);
          return;
        }
        if (socket.bytesWritten > 0) {
          socket.write(refusal);
        }
        runs(socket);
      });
      await fixture.open();
      vitest.expect(await fixture.call(toModel)).toMatchObject({ status: 200, body: 'whole', complete: true });
      vitest.expect(sends).toBe(2);
    },
  );
});

vitest.describe('a request that is sent to the same replica again', () => {
  vitest.test('takes a kept connection that has not carried it (guards against needless new connections)', async () => {
    await using fixture = new ExchangeFixture(stream);
    const sockets = new Set<net.Socket>();
    let refusals = 0;
    await fixture.addReplica((socket, head) => {
      sockets.add(socket);
      if (head.includes('/p/refused') && refusals === 0) {
        refusals += 1;
        socket.end(notExecuted.replace('Content-Length', 'Connection: close\r\nContent-Length'));
      } else {
        runs(socket);
      }
    });
    await fixture.open();
    await Promise.all([fixture.call(toModel), fixture.call(toModel)]);
    vitest.expect(await fixture.call({ ...toModel, path: '/p/refused' })).toMatchObject({ status: 200 });
    vitest.expect([refusals, sockets.size]).toEqual([1, 2]);
  });
});

/** Ways in which a replica repeats a refusal: what it writes with it, and once a request is sent to it again. */
interface Repetition {
  readonly withRefusal: (socket: net.Socket) => void;
  readonly afterNextSend?: string;
}

const manyParts = `${notExecutedHead}Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(300)}0\r\n\r\n`;
const half = notExecuted.length / 2;
const afterNextSend = notExecuted;
const repetitions: readonly (readonly [string, Repetition])[] = [
  ['in the packet of the refusal', { withRefusal: (socket) => socket.write(notExecuted.repeat(2)) }],
  ['three times in one packet', { withRefusal: (socket) => socket.write(notExecuted.repeat(3)) }],
  ['in the next packet', { withRefusal: (socket) => socket.write(notExecuted, () => socket.write(notExecuted)) }],
  [
    'within a millisecond',
    {
      withRefusal: (socket) => {
        socket.write(notExecuted);
        setTimeout(() => socket.write(notExecuted), 1);
      },
    },
  ],
  [
    'before the body of the refusal has been read',
    { withRefusal: (socket) => socket.write(manyParts, () => socket.write(notExecuted)) },
  ],
  [
    'on an idle connection, and after the next send',
    { withRefusal: (socket) => socket.write(notExecuted), afterNextSend },
  ],
  [
    'half in its packet, half after the next send',
    {
      withRefusal: (socket) => socket.write(notExecuted + notExecuted.slice(0, half)),
      afterNextSend: notExecuted.slice(half),
    },
  ],
];

/** A replica that refuses its first request and repeats that as told; it runs each later one. */
async function addRepeatingReplica(
  fixture: ExchangeFixture,
  { withRefusal, afterNextSend = '' }: Repetition,
): Promise<{ runs: number }> {
  const counts = { runs: 0 };
  let first: net.Socket | undefined;
  await fixture.addReplica((socket) => {
    if (first === undefined) {
      first = socket;
      withRefusal(socket);
      return;
    }
    counts.runs += 1;
    first.write(afterNextSend);
    setTimeout(() => socket.write(signedAnswer.replace('a1', counts.runs === 1 ? 'a1' : 'a2')), runMs);
  });
  return counts;
}

vitest.describe('a refusal that is repeated', () => {
  vitest.test.each(repetitions)(
    '%s, does not answer the next send of its request (guards against a promise for a stream that runs)',
    async (_name, repetition) => {
      await using fixture = new ExchangeFixture(stream);
      const counts = await addRepeatingReplica(fixture, repetition);
      await fixture.open();
      vitest.expect(await fixture.call(toModel)).toMatchObject({ status: 200, body: 'whole', complete: true });
      vitest.expect(counts.runs).toBe(1);
    },
  );

  vitest.test.each(repetitions)(
    '%s, does not answer another request (guards against a promise for a stream that runs)',
    async (_name, repetition) => {
      await using fixture = new ExchangeFixture(stream);
      fixture.retrySlack = 0;
      const counts = await addRepeatingReplica(fixture, repetition);
      await fixture.open();
      vitest.expect(await fixture.call()).toMatchObject({ status: 503 });
      counts.runs = 1;
      const other = await fixture.call({ headers: { 'x-attempt': 'a2' } });
      vitest.expect(other.status).toBe(repetition.afterNextSend === undefined ? 200 : 502);
      vitest.expect(counts.runs).toBe(2);
    },
  );
});
