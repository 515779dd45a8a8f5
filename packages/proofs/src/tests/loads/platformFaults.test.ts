import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import * as support from './loadCluster.js';

/** Limit for the immediate refusal of a cold model during an outage, milliseconds; allows for a busy machine. */
const refusalLimitMs = 2_000;
/** Duration of the log outage, milliseconds. */
const outageMs = 20_000;
/** Size of a model of which an engine holds four, bytes. */
const smallModelBytes = 20e9;

vitest.describe('log outage', () => {
  vitest.test(
    'loaded models are served, cold ones refused at once (guards against unneeded refusals and held requests)',
    async () => {
      await using parts = await support.startLoadCluster(['loaded', 'cold']);
      const { cluster, topic } = parts;
      const [daemon] = cluster.daemons;
      vitest.assert(daemon);
      await support.request(cluster, daemon, 'loaded');
      await cluster.log.control({ outage: true });
      // The first request after the start of an outage may be the one that detects it.
      await harness.delay(1_000);
      const endMs = Date.now() + outageMs;
      while (Date.now() < endMs) {
        for (const queriedDaemon of cluster.daemons) {
          const [served, refused] = await Promise.all([
            support.request(cluster, queriedDaemon, 'loaded'),
            support.request(cluster, queriedDaemon, 'cold'),
          ]);
          vitest.expect(served, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
          vitest.expect(refused).toMatchObject({ outcome: 'refused', status: 503, error: { executed: 'no' } });
          vitest.expect(refused.error?.retryAfterMs).toBeGreaterThan(0);
          vitest.expect(refused.totalMs).toBeLessThan(refusalLimitMs);
        }
        await harness.delay(500);
      }
      await cluster.log.control({ outage: false });
      vitest.expect(await topic.decidedLoads('solano/cold')).toEqual([]);
      await harness.waitUntil('the cold model is served after the outage', 10_000, async () => {
        return (await support.request(cluster, daemon, 'cold')).outcome === 'complete';
      });
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
    },
  );

  vitest.test('an outage during a load adds no second replica (guards P1 across an outage)', async () => {
    await using parts = await support.startLoadCluster(['first', 'second']);
    const { cluster, topic } = parts;
    const [daemon] = cluster.daemons;
    vitest.assert(daemon);
    const waiting = support.request(cluster, daemon, 'first');
    await support.waitForModelState(cluster, 'solano/first', 'LOADING');
    await cluster.log.control({ outage: true });
    await support.waitForModelState(cluster, 'solano/first', 'READY');
    vitest.expect(await waiting, cluster.errorOutput()).toSatisfy(support.isCompleteOrRetryable);
    // Longer than the lease, so that the lease expires during the outage.
    await harness.delay(2 * support.leaseMs);
    await cluster.log.control({ outage: false });
    await harness.waitUntil('the model is served after the outage', 10_000, async () => {
      return (await support.request(cluster, daemon, 'first')).outcome === 'complete';
    });
    vitest.expect(await topic.decidedLoads('solano/first')).toHaveLength(1);
    vitest.expect(cluster.observer.replicaSpans('solano/first')).toHaveLength(1);
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
  });
});

vitest.describe('target lost', () => {
  const engines = [{}, { fencing: 'ignored' }] as const;

  /** The engine that holds or loads a model. */
  function holderOf(cluster: harness.Cluster, model: string): harness.Target {
    const span = cluster.observer.replicaSpans(model).at(-1);
    const holder = cluster.engines.find((engine) => engine.vm === span?.target);
    vitest.assert(holder);
    return holder;
  }

  vitest.test.each([0, 1])(
    'engine %i restarts empty while its replica is recorded as ready: the model is loaded again (guards against a stale replica)',
    async (index) => {
      await using parts = await support.startLoadCluster(['first'], { engines: [engines[index] ?? {}] });
      const { cluster } = parts;
      const [daemon] = cluster.daemons;
      vitest.assert(daemon);
      vitest.expect(await support.request(cluster, daemon, 'first')).toMatchObject({ outcome: 'complete' });
      await cluster.observer.copyRecords();
      await holderOf(cluster, 'solano/first').standIn.restart();
      await harness.waitUntil('the model is served again', 10_000, async () => {
        const result = await support.request(cluster, daemon, 'first', 5_000);
        vitest.expect(result).toSatisfy(support.isCompleteOrRetryable);
        return result.outcome === 'complete';
      });
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
    },
  );

  vitest.test(
    'VM reclaimed during a load: the load moves to another engine (guards against a lost request)',
    async () => {
      const options = { engines, engine: { 'token-ms': 2, 'load-ms': 1_500 } };
      await using parts = await support.startLoadCluster(['first'], options);
      const { cluster, topic } = parts;
      const [daemon] = cluster.daemons;
      vitest.assert(daemon);
      const waiting = support.request(cluster, daemon, 'first');
      await support.waitForModelState(cluster, 'solano/first', 'LOADING');
      const holder = holderOf(cluster, 'solano/first');
      await holder.standIn.process.kill();
      await cluster.setVmState(holder.vm, 'gone');
      vitest.expect(await waiting, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
      vitest.expect(await topic.decidedLoads('solano/first')).toHaveLength(2);
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
    },
  );

  vitest.test('VM reclaimed while the owner is paused: one replica remains (guards P1 under two faults)', async () => {
    const options = { engines, engine: { 'token-ms': 2, 'load-ms': 1_500 } };
    await using parts = await support.startLoadCluster(['first'], options);
    const { cluster } = parts;
    const owner = await harness.findOwner(cluster);
    const waiting = support.request(cluster, support.otherDaemon(cluster, owner), 'first');
    await support.waitForModelState(cluster, 'solano/first', 'LOADING');
    owner.process.pause();
    const holder = holderOf(cluster, 'solano/first');
    await holder.standIn.process.kill();
    await cluster.setVmState(holder.vm, 'gone');
    vitest.expect(await waiting, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
    owner.process.resume();
    await harness.delay(2_000);
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
  });
});

vitest.describe('weight store ten times slower', () => {
  const deadlineMs = 13_000;
  let parts: support.LoadCluster;
  let results: readonly harness.CallResult[];

  vitest.beforeAll(async () => {
    const models = Array.from({ length: 8 }, (_value, index) => `model-${index}`);
    const weightStore = { 'bytes-per-second': 20e9 };
    parts = await support.startLoadCluster([], { engines: [{}, {}], weightStore });
    const { cluster } = parts;
    for (const model of models) {
      await cluster.operator('solano').setModel(model, { weightBytes: [smallModelBytes] });
    }
    await cluster.weightStore.control({ slowdown: 10 });
    const calls = models.map((model, index) =>
      support.request(cluster, cluster.daemon(index % cluster.daemons.length), model, deadlineMs),
    );
    results = await Promise.all(calls);
  });

  vitest.afterAll(async () => {
    await parts[Symbol.asyncDispose]();
  });

  vitest.test(
    'at most 4 loads run concurrently, and refused requests did not run (guards P5 and the weight store)',
    async () => {
      const { cluster } = parts;
      for (const result of results) {
        vitest.expect(result, cluster.errorOutput()).toSatisfy(support.isCompleteOrRetryable);
      }
      vitest.expect(results.some((result) => result.outcome === 'refused')).toBe(true);
      const store = (await cluster.weightStore.control()) as { readonly mostInTransit: number };
      vitest.expect(store.mostInTransit).toBeLessThanOrEqual(4);
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
    },
  );

  vitest.test('no request is held until its deadline (guards P3 against waits that cannot succeed)', () => {
    for (const result of results) {
      vitest.expect(result.error?.type, JSON.stringify(result)).not.toBe('deadline_exceeded');
      vitest.expect(result.totalMs).toBeLessThan(deadlineMs);
    }
  });
});

vitest.describe('log faults', () => {
  vitest.test(
    'owner killed while the log loses acknowledgements: one replica (guards P1 under two faults)',
    async () => {
      await using parts = await support.startLoadCluster(['first'], {
        engines: [{}, { fencing: 'ignored' }],
        engine: { 'token-ms': 2, 'load-ms': 1_500 },
      });
      const { cluster, topic } = parts;
      const owner = await harness.findOwner(cluster);
      await cluster.log.control({ loseAcknowledgements: 0.5 });
      const waiting = support.request(cluster, support.otherDaemon(cluster, owner), 'first');
      await support.waitForModelState(cluster, 'solano/first', 'LOADING');
      await owner.process.kill();
      vitest.expect(await waiting, cluster.errorOutput()).toMatchObject({ outcome: 'complete' });
      vitest.expect(await topic.decidedLoads('solano/first')).toHaveLength(1);
      vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
    },
  );
});
