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
