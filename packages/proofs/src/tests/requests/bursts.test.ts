import * as perfHooks from 'node:perf_hooks';
import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';

const deadlinesMs = [300, 800, 2_000, 4_000];
/** Limit for a refusal that is decided on arrival, milliseconds; far below the deadline. */
const refusalLimitMs = 700;
const models = { solano: 'walkthrough', cascade: 'summary' } as const;
type Partner = keyof typeof models;

async function startCluster(): Promise<harness.Cluster> {
  const cluster = await harness.Cluster.start({
    daemons: 3,
    engines: [{}],
    engine: { 'token-ms': 5, slots: 8, 'queue-limit': 16, 'load-ms': 2_000 },
    weightStore: { 'bytes-per-second': 1e12 },
  });
  for (const partner of ['solano', 'cascade'] as const) {
    await cluster.operator(partner).setModel(models[partner], { weightBytes: [20e9] });
    // Takes longer to load than any deadline here allows.
    await cluster.operator(partner).setModel('cold', { weightBytes: [20e9], expectedLoadMilliseconds: 2_000 });
    for (const daemon of cluster.daemons) {
      const result = await cluster.callers.complete(daemon.callersUrl, { partner, model: models[partner] });
      vitest.expect(result, cluster.errorOutput(2_000)).toMatchObject({ outcome: 'complete' });
    }
  }
  return cluster;
}

function burst(
  cluster: harness.Cluster,
  count: number,
  callOf: (index: number) => Partial<harness.CompletionCall> & { readonly partner: Partner },
  spreadMs = 0,
): Promise<(harness.CallResult & { readonly deadlineMs: number })[]> {
  return Promise.all(
    Array.from({ length: count }, async (_value, index) => {
      const call = callOf(index);
      const deadlineMs = call.deadlineMs ?? 4_000;
      await harness.delay((index * spreadMs) / count);
      const url = cluster.daemon(index % cluster.daemons.length).callersUrl;
      const result = await cluster.callers.complete(url, { model: models[call.partner], ...call, deadlineMs });
      return { ...result, deadlineMs };
    }),
  );
}

vitest.describe('bursts above capacity', () => {
  let cluster: harness.Cluster;

  vitest.beforeAll(async () => {
    cluster = await startCluster();
  });

  vitest.afterAll(async () => {
    await cluster[Symbol.asyncDispose]();
  });

  vitest.test('every request gets a final answer before its deadline (guards against dropped requests)', async () => {
    const callOf = (index: number): Partial<harness.CompletionCall> & { readonly partner: Partner } => ({
      partner: index % 2 === 0 ? 'solano' : 'cascade',
      priority: index % 3 === 0 ? 'batch' : 'interactive',
      deadlineMs: deadlinesMs[index % deadlinesMs.length] ?? 0,
      maximumTokens: 10,
      stream: index % 5 !== 0,
    });
    // Requests are spread over a second, so that a busy test process does not distort their measured times.
    const callerLag = perfHooks.monitorEventLoopDelay({ resolution: 1 });
    callerLag.enable();
    const results = await burst(cluster, 300, callOf, 1_000);
    callerLag.disable();
    // Event-loop delay of the test process: the time by which it may read an answer late.
    const callerLagMs = callerLag.max / 1e6;
    const dropped = results.filter((result) => result.outcome === 'broken' || result.outcome === 'mismatched');
    vitest.expect(dropped).toEqual([]);
    const late = results.filter((result) => result.totalMs - callerLagMs > result.deadlineMs);
    const lateMs = late.map(({ deadlineMs, totalMs }) => Math.round(totalMs - deadlineMs));
    vitest.expect(lateMs, `caller's lag ${callerLagMs.toFixed(1)} ms`).toEqual([]);
    const withoutRetry = results.filter(
      ({ outcome, error }) => outcome === 'refused' && error?.retryAfterMs === undefined,
    );
    vitest.expect(withoutRetry).toEqual([]);
    vitest.expect(results.filter(({ outcome }) => outcome === 'complete').length).toBeGreaterThan(20);
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
  });

  vitest.test(
    'a model that cannot load in time is refused at once (guards against requests held without need)',
    async () => {
      const results = await burst(cluster, 40, (index) => ({
        partner: index % 2 === 0 ? 'solano' : 'cascade',
        model: 'cold',
        deadlineMs: 1_500,
      }));
      vitest.expect(results.filter(({ totalMs }) => totalMs > refusalLimitMs)).toEqual([]);
      const errors = results.map(({ error }) => error);
      vitest.expect(errors.filter((error) => error?.executed !== 'no' || !error.retryAfterMs)).toEqual([]);
    },
  );

  vitest.test('a burst of one partner does not starve the other (guards against a shared queue)', async () => {
    const flood = burst(cluster, 300, () => ({ partner: 'solano', priority: 'batch', deadlineMs: 4_000 }));
    await harness.delay(100);
    const results = await burst(cluster, 15, () => ({ partner: 'cascade', deadlineMs: 4_000 }));
    vitest.expect(results.filter(({ outcome }) => outcome !== 'complete')).toEqual([]);
    await flood;
  });
});
