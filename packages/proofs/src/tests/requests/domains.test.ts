import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';

const partner = 'solano';
/** Time for the other domain to take over the cell and to load the lost model, milliseconds. */
const recoveryMs = 15_000;

vitest.describe('loss of a failure domain', () => {
  vitest.test('the other domain serves its models and reloads the rest (guards against a lost cell)', async () => {
    await using cluster = await harness.Cluster.start({
      daemons: [
        { failureDomain: 'fd-a' },
        { failureDomain: 'fd-a' },
        { failureDomain: 'fd-b' },
        { failureDomain: 'fd-b' },
      ],
      engines: [{ failureDomain: 'fd-a' }, { failureDomain: 'fd-b' }],
      partners: [partner],
      engine: { 'token-ms': 2 },
      weightStore: { 'bytes-per-second': 1e12 },
    });
    const models = ['first', 'second'];
    const send = (daemon: harness.DaemonHandle, model: string): Promise<harness.CallResult> =>
      cluster.callers.complete(daemon.callersUrl, { partner, model, deadlineMs: 5_000 });
    for (const model of models) {
      // An engine holds only one of the models, so each domain holds one.
      await cluster.operator(partner).setModel(model, { weightBytes: [45e9] });
      vitest.expect(await send(cluster.daemon(0), model), cluster.errorOutput(2_000)).toMatchObject({ status: 200 });
    }
    await cluster.observer.copyRecords();
    const kept =
      cluster.observer
        .replicaSpans()
        .find(({ target }) => target === 'engine-2')
        ?.model.split('/')[1] ?? '';
    const lost = models.find((model) => model !== kept) ?? '';
    const survivors = cluster.daemons.slice(2);
    await Promise.all([
      cluster.daemon(0).kill(),
      cluster.daemon(1).kill(),
      cluster.engines[0]?.standIn.process.kill(),
      ...['vm-entry-1', 'vm-entry-2', 'engine-1'].map((vm) => cluster.setVmState(vm, 'gone')),
    ]);
    for (const daemon of survivors) {
      vitest.expect(await send(daemon, kept), cluster.errorOutput(2_000)).toMatchObject({ outcome: 'complete' });
    }
    for (const daemon of survivors) {
      await harness.waitUntil(`${daemon.name} serves the lost model`, recoveryMs, async () => {
        return (await send(daemon, lost)).outcome === 'complete';
      });
    }
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
  });
});
