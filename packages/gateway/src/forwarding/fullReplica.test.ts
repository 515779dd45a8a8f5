import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { ExchangeFixture } from '../testing/ExchangeFixture.js';
import { QueueingReplica } from '../testing/QueueingReplica.js';

/** The replica runs 200 requests a second; as many of each kind arrive. */
const replica = { slots: 4, queueLimit: 8, workMs: 20 } as const;
const intervalMs = 10;
const requestsPerInterval = 2;
const overloadMs = 2_000;
const timeoutMs = 800;

vitest.describe('a replica that is full', () => {
  vitest.test(
    'serves idempotent requests about as often as others (guards against routes that are not served under overload)',
    async () => {
      const { slots, queueLimit, workMs } = replica;
      const other = { name: 'other', pathPrefix: '/other/', kind: 'nonIdempotent', timeoutMs } as const;
      await using fixture = new ExchangeFixture({ kind: 'idempotent', latencyTargetMs: 300, timeoutMs }, other);
      fixture.retrySlack = 0;
      await fixture.addReplica(new QueueingReplica(slots, queueLimit, workMs).receive);
      await fixture.open();
      const calls = { idempotent: [] as Promise<boolean>[], other: [] as Promise<boolean>[] };
      let sent = 0;
      const call = async (path: string): Promise<boolean> => {
        sent += 1;
        const { status } = await fixture.call({ path, headers: { 'x-attempt': `a${sent}` } });
        return status === 200;
      };
      for (let elapsedMs = 0; elapsedMs < overloadMs; elapsedMs += intervalMs) {
        for (let index = 0; index < requestsPerInterval; index += 1) {
          calls.idempotent.push(call('/p/x'));
          calls.other.push(call('/other/x'));
        }
        await timers.setTimeout(intervalMs);
      }
      const served = async (results: readonly Promise<boolean>[]): Promise<number> =>
        (await Promise.all(results)).filter((isServed) => isServed).length;
      const counts = { idempotent: await served(calls.idempotent), other: await served(calls.other) };
      vitest.expect(counts.idempotent, JSON.stringify(counts)).toBeGreaterThan(counts.other / 2);
    },
    20_000,
  );
});
