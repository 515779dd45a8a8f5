import * as common from '@jayhaven/common';
import * as standins from '@jayhaven/standins';
import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import { agreedConfiguration, configurationAt, configurationInLog, inForceLimitMs } from './support.js';

const daemonCount = 4;
const queueLimit = 'solano/defaults/queueLimit';
const seeds = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

interface Refusal {
  readonly error: { readonly type: string };
  readonly winner?: { readonly version: number; readonly value: unknown };
}

vitest.describe('edits', () => {
  let cluster: harness.Cluster;

  vitest.beforeAll(async () => {
    cluster = await harness.Cluster.start({
      daemons: daemonCount,
      engines: [{}, {}, {}],
      engine: { 'token-ms': 5, 'load-ms': 200 },
      weightStore: { 'bytes-per-second': 1e12 },
    });
  });

  vitest.afterAll(async () => {
    await cluster[Symbol.asyncDispose]();
  });

  vitest.test.each(seeds)(
    'of two concurrent edits of one key one is refused, seed %i (guards against a silent override)',
    async (seed) => {
      const random = new standins.RandomSource(seed);
      const firstDaemon = Math.floor(random.next() * daemonCount);
      const secondDaemon = (firstDaemon + 1 + Math.floor(random.next() * (daemonCount - 1))) % daemonCount;
      const delayMs = random.next() * 4;
      const before = (await agreedConfiguration(cluster)).find(({ key }) => key === queueLimit);
      const basedOn = before?.version ?? null;
      const values = [seed * 100 + 1, seed * 100 + 2] as const;
      const answers = await Promise.all([
        cluster.operator('solano', firstDaemon).edit(queueLimit, values[0], basedOn),
        harness
          .delay(delayMs)
          .then(() => cluster.operator('solano', secondDaemon).edit(queueLimit, values[1], basedOn)),
      ]);
      vitest.expect(answers.map(({ status }) => status).sort(), JSON.stringify(answers)).toEqual([200, 409]);
      const winner = answers.findIndex(({ status }) => status === 200);
      const refusal = answers[1 - winner]?.body as Refusal;
      const { version } = answers[winner]?.body as { readonly version: number };
      vitest.expect(refusal.error.type).toBe('stale_edit');
      vitest.expect(refusal.winner).toMatchObject({ version, value: values[winner] });
      const agreed = await agreedConfiguration(cluster);
      vitest.expect(agreed.find(({ key }) => key === queueLimit)).toEqual({
        ...{ key: queueLimit, value: values[winner], version },
      });
      vitest.expect(agreed).toEqual(await configurationInLog(cluster));
    },
  );

  vitest.test(
    'a partner can neither edit nor remove keys of the other (guards against a lack of isolation between partners)',
    async () => {
      const before = await agreedConfiguration(cluster);
      const version = before.find(({ key }) => key === queueLimit)?.version ?? null;
      for (const [index] of cluster.daemons.entries()) {
        for (const value of [1, null]) {
          const answer = await cluster.operator('cascade', index).edit(queueLimit, value, version);
          vitest.expect(answer).toMatchObject({ status: 403, body: { error: { type: 'foreign_key' } } });
        }
      }
      vitest.expect(await agreedConfiguration(cluster)).toEqual(before);
      vitest.expect(await configurationInLog(cluster)).toEqual(before);
    },
  );

  vitest.test(
    'an exception without a reason is refused (guards against exceptions without a recorded reason)',
    async () => {
      const key = 'solano/exceptions/walkthrough/queueLimit';
      for (const reason of ['', '   ']) {
        const answer = await cluster.operator('solano', 1).edit(key, 5, null, reason);
        vitest.expect(answer).toMatchObject({ status: 422, body: { error: { type: 'missing_reason' } } });
      }
      vitest.expect((await agreedConfiguration(cluster)).some((entry) => entry.key === key)).toBe(false);
    },
  );

  vitest.test(
    'an edit of a shared key needs approval by the other partner (guards against a one-sided change of shared capacity)',
    async () => {
      const key = 'shared/share/solano';
      const client = new common.JsonHttpClient();
      const approve = async (partner: string, index: number, edit: number): Promise<number> => {
        const outcome = await client.request({
          ...{ method: 'POST', url: `${cluster.daemon(index).operatorsUrl}/v1/approvals`, body: { edit } },
          headers: { authorization: `Bearer ${harness.bearerKey('operator', partner)}` },
          timeoutMs: 5000,
        });
        return outcome.ok ? outcome.value.status : 0;
      };
      try {
        const answer = await cluster.operator('solano', 0).edit(key, 0.7, null);
        vitest.expect(answer).toMatchObject({ status: 200, body: { state: 'pending' } });
        const { version } = answer.body as { readonly version: number };
        vitest.expect(await approve('solano', 1, version)).toBe(403);
        await harness.delay(500);
        for (const [index] of cluster.daemons.entries()) {
          vitest.expect((await configurationAt(cluster, index)).some((entry) => entry.key === key)).toBe(false);
        }
        vitest.expect(await approve('cascade', 3, version)).toBe(200);
        await cluster.timesUntilInForce('solano', key, 0.7, inForceLimitMs);
      } finally {
        await client[Symbol.asyncDispose]();
      }
    },
  );

  vitest.test('engines hold at most maximumReplicas replicas (guards against an edit without effect)', async () => {
    const solano = cluster.operator('solano', 0);
    await solano.setModel('walkthrough', { weightBytes: [40e9] });
    await solano.set('solano/defaults/requestsPerReplica', 1);
    await solano.set('solano/exceptions/walkthrough/maximumReplicas', 2, 'two crews');
    await cluster.timesUntilInForce('solano', 'solano/exceptions/walkthrough/maximumReplicas', 2, inForceLimitMs);
    const foreign = await cluster.operator('cascade', 1).edit('solano/exceptions/walkthrough/maximumReplicas', 3, null);
    vitest.expect(foreign.status).toBe(403);
    const calls = Array.from({ length: 40 }, (_none, index) =>
      cluster.callers.complete(cluster.daemon(index % daemonCount).callersUrl, {
        ...{ partner: 'solano', model: 'walkthrough', maximumTokens: 100, deadlineMs: 20_000 },
      }),
    );
    await harness.waitUntil('engines hold two replicas', 15_000, async () => {
      await cluster.observer.copyRecords();
      return cluster.observer.replicaSpans('solano/walkthrough').length === 2;
    });
    await Promise.all(calls);
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 2 }), cluster.errorOutput()).toEqual([]);
  });
});
