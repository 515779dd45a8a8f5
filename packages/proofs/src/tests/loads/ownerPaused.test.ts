import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import * as support from './loadCluster.js';

/** Time within which memory taken by the late order of a resumed owner is released, milliseconds. */
const settlingLimitMs = 12_000;

vitest.describe('owner paused past its lease between read-back and send', () => {
  vitest.test.each(['checked', 'ignored'] as const)(
    'its late order overcommits no memory and adds no replica (fencing tokens %s; guards P1 and P2 against a stale owner)',
    async (fencing) => {
      await using setup = await support.startLoadCluster(['first', 'second'], { engines: [{ fencing }] });
      const { cluster, topic } = setup;
      const engine = support.engineAt(cluster);
      const owner = await harness.findOwner(cluster);
      const other = support.otherDaemon(cluster, owner);
      const claim = await topic.claim();
      await support.proxyOf(engine).control({ dropContaining: [support.orderText(claim)] });
      const first = support.request(cluster, other, 'first');
      await topic.waitUntilDecided('solano/first');
      await harness.delay(100);
      owner.process.pause();
      await topic.waitForNewerClaim(claim);
      // The successor adopts the decision and sends the order itself.
      vitest.expect(await first, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
      // Another model needs the memory. An engine that ignores fencing tokens may still execute the first order.
      const second = await support.request(cluster, other, 'second', 4_000);
      vitest.expect(second, cluster.errorOutput()).toSatisfy(support.isCompleteOrRetryable);
      if (fencing === 'checked') {
        vitest.expect(second, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
      }
      await support.proxyOf(engine).control({ dropContaining: [] });
      await harness.delay(300);
      owner.process.resume();
      await harness.waitUntil('the second model is served', settlingLimitMs, async () => {
        const result = await support.request(cluster, other, 'second', 3_000);
        return result.outcome === 'complete';
      });
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
      const lateOrders = cluster.observer
        .engineRecords()
        .flatMap(({ records }) => records.orders)
        .filter((order) => order.token === claim);
      vitest.expect(lateOrders, 'the order of the paused owner reached the engine').not.toEqual([]);
    },
  );
});
