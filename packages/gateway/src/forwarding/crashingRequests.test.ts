import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { partsKey } from '../crashes/parts.js';
import { ExchangeFixture, type ReplicaScript } from '../testing/ExchangeFixture.js';

const head = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nContent-Type: text/event-stream\r\n\r\n';
const event = 'data: x\n\n';
const request = { headers: { 'x-model': 'm', 'x-parts': 'f1,bad,e1' } };
/** The part that stands for the whole request. */
const wholeRequest: unknown = vitest.expect.stringMatching(/^request:[0-9a-f]{32}$/);
const block = { parts: ['bad'], leftMs: 60_000, repetition: 1 };

/** Ends the replica: it closes all connections and accepts no others. */
const crashes: ReplicaScript = (socket) => {
  socket.write(head);
  setTimeout(() => {
    (socket as net.Socket & { readonly server: net.Server }).server.close();
    socket.resetAndDestroy();
  }, 10);
};
const answers: ReplicaScript = (socket) => socket.end(`${head}${event}${event}`);

vitest.describe('a request that may have ended its replica', () => {
  vitest.test('is reported with itself and the parts of its prompt but the last', async () => {
    await using fixture = new ExchangeFixture({ kind: 'stream' });
    await fixture.addReplica(crashes);
    await fixture.open();
    vitest.expect(await fixture.call(request)).toMatchObject({ status: 502 });
    await vitest.vi.waitFor(() => {
      vitest
        .expect(fixture.crashReports)
        .toMatchObject([{ replicaId: 'r0', requests: [{ parts: ['f1', 'bad', wholeRequest] }] }]);
    });
  });

  vitest.test(
    'is not sent to the next replica without a trial (guards against a stream that ends every replica)',
    async () => {
      await using fixture = new ExchangeFixture({ kind: 'stream', resumable: true });
      await fixture.addReplica(crashes);
      await fixture.addReplica(answers);
      await fixture.open();
      const trials: (readonly string[])[] = [];
      fixture.crashGuard.onTrialRequested((parts) => trials.push(parts));
      const pending = fixture.call(request);
      await vitest.vi.waitFor(() => {
        vitest.expect(trials).toEqual([['bad', wholeRequest]]);
      });
      vitest.expect(fixture.requestHeads.length).toBe(1);
      fixture.crashGuard.grantTrial(trials[0] ?? [], performance.now());
      vitest.expect(await pending).toMatchObject({ status: 200, complete: true });
    },
  );

  vitest.test.each([
    ['its connection was reset but the replica goes on', (socket: net.Socket): unknown => socket.resetAndDestroy()],
    ['it was answered', answers],
    ['it failed', (socket: net.Socket): unknown => socket.end(head.replace('200 OK', '500 Bad'))],
  ])('is not reported when %s (guards against parts blamed without a crash)', async (_name, end) => {
    await using fixture = new ExchangeFixture({ kind: 'stream' });
    await fixture.addReplica((socket, requestHead) => {
      end(socket, requestHead);
    });
    await fixture.open();
    await fixture.call(request);
    await timers.setTimeout(50);
    vitest.expect(fixture.crashReports).toEqual([]);
    vitest.expect(fixture.crashGuard.check(['f1', 'bad'], performance.now())).toEqual({ kind: 'free' });
  });
});

vitest.describe('requests that wait for a trial', () => {
  vitest.test(
    'are each sent once if the leader grants at once (guards against a request that runs twice)',
    async () => {
      await using fixture = new ExchangeFixture({ kind: 'stream' });
      await fixture.addReplica((socket, requestHead) => {
        setTimeout(() => {
          answers(socket, requestHead);
        }, 150);
      });
      await fixture.open();
      const { crashGuard } = fixture;
      let isAllowed = false;
      crashGuard.onTrialRequested((parts) => {
        if (isAllowed) {
          crashGuard.grantTrial(parts, performance.now());
        }
      });
      const suspects = [{ part: 'bad', rounds: 1 }];
      crashGuard.apply({ whole: false, suspects, blocks: [], lifted: [] }, performance.now());
      const pending = [1, 2, 3].map(() => fixture.call(request));
      await timers.setTimeout(50);
      vitest.expect(fixture.requestHeads).toEqual([]);
      isAllowed = true;
      await Promise.all(pending);
      vitest.expect(fixture.requestHeads.length).toBe(3);
    },
  );
});

vitest.describe('a request with blocked parts', () => {
  vitest.test(
    'is refused at once with the time of the next trial (guards against callers that wait in vain)',
    async () => {
      await using fixture = new ExchangeFixture({ kind: 'stream' });
      await fixture.addReplica(answers);
      await fixture.open();
      fixture.crashGuard.apply({ whole: false, suspects: [], blocks: [block], lifted: [] }, performance.now());
      const refused = await fixture.call(request);
      vitest.expect(refused.status).toBe(503);
      vitest.expect(Number(refused.headers['retry-after'])).toBeGreaterThan(50);
      vitest.expect(fixture.requestHeads).toEqual([]);
      const sound = await fixture.call({ headers: { 'x-model': 'm', 'x-parts': 'f1,c1,bad' } });
      vitest.expect(sound).toMatchObject({ status: 200, complete: true });
      fixture.crashGuard.apply(
        { whole: false, suspects: [], blocks: [], lifted: [partsKey(block.parts)] },
        performance.now(),
      );
      vitest.expect(await fixture.call(request)).toMatchObject({ status: 200, complete: true });
    },
  );
});
