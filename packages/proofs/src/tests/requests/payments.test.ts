import * as standins from '@jayhaven/standins';
import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import {
  controlServices,
  isFinal,
  pay,
  payWithRepeats,
  runCount,
  payUntilFinal,
  startPaymentCluster,
  injectAllFaults,
} from './payments.js';

const seeds = [11, 23, 42];
const keys = 30;
/** Callers that use the same key at the same time. */
const callersPerKey = 2;
/** Interval over which the callers' starts are spread, milliseconds, so that they overlap with the faults. */
const spreadMs = 4_000;

vitest.describe('payments under faults', () => {
  vitest.test.each(seeds)(
    'no key runs twice and no refusal is untrue, seed %i (guards against a doubled payment)',
    async (seed) => {
      await using cluster = await startPaymentCluster(seed);
      const faultSequences = ([0, 1] as const).map((half) =>
        injectAllFaults(cluster, half, new standins.RandomSource(seed + half)),
      );
      const callers = Array.from({ length: keys * callersPerKey }, async (_value, index) => {
        const random = new standins.RandomSource(seed * 1_000 + index);
        await harness.delay(random.next() * spreadMs);
        await payWithRepeats(cluster, `key-${Math.floor(index / callersPerKey)}`, random);
      });
      const injected = await Promise.all(faultSequences);
      await Promise.all(callers);
      const message = `seed ${seed}, faults ${injected.join(' | ')}`;
      vitest.expect(await cluster.observer.violations(), message).toEqual([]);

      // After the faults, every key has one final answer: the payment ran once, or its execution is unknown.
      const names = Array.from({ length: keys }, (_value, index) => `key-${index}`);
      const before = new Map(names.map((key) => [key, runCount(cluster, key)]));
      const finalResults = await Promise.all(names.map((key, index) => payUntilFinal(cluster, index % 4, key)));
      vitest
        .expect(
          finalResults.filter((result) => !isFinal(result)),
          message,
        )
        .toEqual([]);
      await cluster.observer.copyRecords();
      for (const [index, key] of names.entries()) {
        const isComplete = finalResults[index]?.outcome === 'complete';
        // A repeat that is answered as unknown must not run the payment again; a complete one must have run once.
        const expected = isComplete ? 1 : before.get(key);
        vitest.expect(runCount(cluster, key), `${message}, ${key}`).toBe(expected);
      }
      vitest.expect(await cluster.observer.violations(), message).toEqual([]);
      const completed = cluster.observer.results.filter(({ outcome }) => outcome === 'complete');
      vitest.expect(completed.length, message).toBeGreaterThan(keys / 2);
    },
  );

  vitest.test('a lost answer stays unknown at every daemon (guards against a retry of a call that ran)', async () => {
    await using cluster = await startPaymentCluster(1);
    await controlServices(cluster, { closeBeforeAnswer: true });
    const first = await pay(cluster, 0, 'lost');
    vitest.expect(first, cluster.errorOutput()).toMatchObject({ status: 502, error: { executed: 'unknown' } });
    await controlServices(cluster, { closeBeforeAnswer: false });
    for (const [index] of cluster.daemons.entries()) {
      const repeat = await pay(cluster, index, 'lost');
      vitest.expect(repeat, cluster.errorOutput()).toMatchObject({ status: 409, error: { executed: 'unknown' } });
    }
    await cluster.observer.copyRecords();
    vitest.expect(runCount(cluster, 'lost')).toBe(1);
  });

  vitest.test(
    'an entry daemon killed while its call runs leaves the key unknown (guards against a key that is released)',
    async () => {
      await using cluster = await startPaymentCluster(1);
      await controlServices(cluster, { answerMs: 1_500 });
      const first = pay(cluster, 0, 'killed', 5_000);
      await harness.waitUntil('the call runs', 5_000, async () => {
        await cluster.observer.copyRecords();
        return runCount(cluster, 'killed') === 1;
      });
      await cluster.daemon(0).kill();
      vitest.expect(await first).toMatchObject({ outcome: 'broken' });
      cluster.daemon(0).start();
      await cluster.daemon(0).waitUntilReady();
      for (const [index] of cluster.daemons.entries()) {
        const repeat = await pay(cluster, index, 'killed', 5_000);
        vitest.expect(repeat, cluster.errorOutput()).toMatchObject({ status: 409, error: { executed: 'unknown' } });
      }
      await cluster.observer.copyRecords();
      vitest.expect(runCount(cluster, 'killed')).toBe(1);
    },
  );

  vitest.test.each([400, 2_500])(
    'a daemon paused for %i ms between claim and send does not double a payment (guards against a late sender)',
    async (pauseMs) => {
      await using cluster = await startPaymentCluster(1);
      await cluster.log.control({ appendDelayMs: 300 });
      const first = pay(cluster, 0, 'paused', 1_500);
      // The append of the claim is in flight and takes effect while the daemon that sent it is paused.
      await harness.delay(150);
      cluster.daemon(0).pause();
      const repeats = [1, 2, 3].map((index) => pay(cluster, index, 'paused', 1_500));
      await harness.delay(pauseMs);
      cluster.daemon(0).resume();
      await Promise.all([first, ...repeats]);
      await cluster.log.control({ appendDelayMs: 0 });
      await harness.delay(1_000);
      await pay(cluster, 2, 'paused', 3_000);
      vitest.expect(await cluster.observer.violations(), cluster.errorOutput()).toEqual([]);
    },
  );
});
