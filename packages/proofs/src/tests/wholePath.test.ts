import * as vitest from 'vitest';
import * as harness from '../harness/index.js';

/** An engine of the harness holds only one model of this size, so a second one needs an eviction. */
const modelBytes = 40e9;

vitest.describe('end-to-end request path', () => {
  let cluster: harness.Cluster;

  vitest.beforeAll(async () => {
    cluster = await harness.Cluster.start({
      daemons: 3,
      engines: [{}, { fencing: 'ignored' }],
      services: [{ name: 'booking' }],
      engine: { 'token-ms': 2, 'load-ms': 300 },
      weightStore: { 'bytes-per-second': 1e12 },
    });
    await cluster.operator('solano').setModel('walkthrough', { weightBytes: [modelBytes] });
    await cluster.operator('cascade', 1).setModel('summary', { weightBytes: [modelBytes] });
    await cluster
      .operator('solano')
      .set('solano/services/booking', { idempotentRoutes: ['GET /'], deadlineMilliseconds: 10_000 });
  });

  vitest.afterAll(async () => {
    await cluster[Symbol.asyncDispose]();
  });

  vitest.test(
    'a cold model is loaded and answers as a stream (guards against components that are not connected)',
    async () => {
      const result = await cluster.callers.complete(cluster.daemon(0).callersUrl, {
        partner: 'solano',
        model: 'walkthrough',
        stream: true,
      });
      vitest.expect(result, cluster.errorOutput()).toMatchObject({ outcome: 'complete', status: 200 });
      await cluster.observer.copyRecords();
      vitest.expect(cluster.observer.replicaSpans('solano/walkthrough')).toHaveLength(1);
    },
  );

  vitest.test('every daemon serves both partners (guards against state that is not replicated)', async () => {
    for (const daemon of cluster.daemons) {
      for (const [partner, model] of [
        ['solano', 'walkthrough'],
        ['cascade', 'summary'],
      ] as const) {
        const result = await cluster.callers.complete(daemon.callersUrl, { partner, model, stream: false });
        vitest.expect(result, cluster.errorOutput()).toMatchObject({ outcome: 'complete', status: 200 });
      }
    }
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
  });

  vitest.test('a payment with the same key at two daemons runs once (guards against a doubled payment)', async () => {
    const call = { partner: 'solano', service: 'booking', key: 'payment-1' };
    for (const daemon of cluster.daemons) {
      const result = await cluster.callers.callService(daemon.callersUrl, call);
      vitest.expect(result, cluster.errorOutput()).toMatchObject({ status: 200 });
    }
    await cluster.observer.copyRecords();
    // The load polls of the collectors have no idempotency key.
    const payments = cluster.observer.serviceCalls('booking').filter((entry) => entry.key !== null);
    vitest.expect(payments).toHaveLength(1);
  });
});
