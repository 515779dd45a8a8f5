import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import * as support from './loadCluster.js';

const model = 'walkthrough';
const qualifiedModel = `solano/${model}`;

type Step = 'before the decision is appended' | 'before the order is sent' | 'during the load' | 'before it is ready';

/** Stops the owner's load at a step; the returned function waits until the load has reached that step. */
async function holdLoadAt(
  step: Step,
  setup: support.LoadCluster,
  owner: harness.DaemonHandle,
): Promise<() => Promise<void>> {
  const { cluster, topic } = setup;
  const claim = await topic.claim();
  switch (step) {
    case 'before the decision is appended':
      await support.logProxyOf(owner).control({ dropContaining: ['"loadDecided"'] });
      return async () => {
        await harness.delay(500);
        vitest.expect(await topic.decidedLoads()).toEqual([]);
      };
    case 'before the order is sent':
      await holdOrders(cluster, [support.orderText(claim)]);
      return async () => {
        await topic.waitUntilDecided(qualifiedModel);
        await harness.delay(100);
        await cluster.observer.copyRecords();
        vitest.expect(cluster.observer.replicaSpans()).toEqual([]);
      };
    case 'during the load':
      return () => support.waitForModelState(cluster, qualifiedModel, 'LOADING');
    case 'before it is ready':
      await support.logProxyOf(owner).control({ dropContaining: ['"replicaReady"'] });
      return () => support.waitForModelState(cluster, qualifiedModel, 'READY');
  }
}

async function holdOrders(cluster: harness.Cluster, texts: readonly string[]): Promise<void> {
  await Promise.all(cluster.engines.map((engine) => support.proxyOf(engine).control({ dropContaining: texts })));
}

const steps: readonly Step[] = [
  'before the decision is appended',
  'before the order is sent',
  'during the load',
  'before it is ready',
];

vitest.describe('owner killed', () => {
  vitest.test.each((['checked', 'ignored'] as const).flatMap((fencing) => steps.map((step) => ({ fencing, step }))))(
    '$step: one replica, and the request is answered (fencing tokens $fencing; guards against a duplicate or a lost load)',
    async ({ fencing, step }) => {
      const options = { engines: [{ fencing }, { fencing }], engine: { 'token-ms': 2, 'load-ms': 1_500 } };
      await using setup = await support.startLoadCluster([model], options);
      const { cluster, topic } = setup;
      const owner = await harness.findOwner(cluster);
      const waitUntilHeld = await holdLoadAt(step, setup, owner);
      const result = support.request(cluster, support.otherDaemon(cluster, owner), model);
      await waitUntilHeld();
      await owner.process.kill();
      vitest.expect(await result, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
      // Releases the orders that are still held.
      await holdOrders(cluster, []);
      await harness.delay(500);
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
      vitest.expect(cluster.observer.replicaSpans(qualifiedModel)).toHaveLength(1);
      vitest.expect(await topic.decidedLoads(qualifiedModel)).toHaveLength(1);
    },
  );
});
