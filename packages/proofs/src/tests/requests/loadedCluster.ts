/** A cluster whose two engines both hold the same model, and requests for that model. */
import * as harness from '../../harness/index.js';

export const partner = 'solano';
export const model = 'walkthrough';

/** Starts three daemons and two engines that both hold the model. */
export async function startLoadedCluster(proxies: harness.ProxyOptions = {}): Promise<harness.Cluster> {
  const cluster = await harness.Cluster.start({
    daemons: 3,
    engines: [{}, {}],
    partners: [partner],
    proxies,
    engine: { 'token-ms': 5, slots: 64 },
    weightStore: { 'bytes-per-second': 1e12 },
  });
  await loadOnBothEngines(cluster);
  return cluster;
}

/** Configures the model with two replicas, and waits until both engines answer requests sent through all daemons. */
export async function loadOnBothEngines(cluster: harness.Cluster): Promise<void> {
  const operator = cluster.operator(partner);
  await operator.set(`${partner}/defaults/maximumReplicas`, 2);
  await operator.set(`${partner}/defaults/minimumReplicas`, 2);
  await operator.setModel(model, { weightBytes: [40e9] });
  await harness.waitUntil('both engines serve the model', 15_000, async () => {
    const calls = cluster.daemons.flatMap((daemon) => [daemon, daemon, daemon, daemon]);
    await Promise.all(calls.map((daemon) => cluster.callers.complete(daemon.callersUrl, { partner, model })));
    await cluster.observer.copyRecords();
    const busy = cluster.observer
      .engineRecords()
      .filter(({ records }) => records.requests.some(({ tokens }) => tokens));
    return busy.length === 2;
  });
}

/** Sends concurrent requests to all daemons; every second one is a stream. */
export function sendMany(
  cluster: harness.Cluster,
  count: number,
  maximumTokens: number,
  deadlineMs = 10_000,
): Promise<harness.CallResult[]> {
  return Promise.all(
    Array.from({ length: count }, (_value, index) => {
      const url = cluster.daemon(index % cluster.daemons.length).callersUrl;
      return cluster.callers.complete(url, { partner, model, maximumTokens, deadlineMs, stream: index % 2 === 0 });
    }),
  );
}

/** Results that are neither a complete answer nor an explicit error. */
export function withoutValidOutcome(results: readonly harness.CallResult[]): readonly harness.CallResult[] {
  return results.filter(
    (result) =>
      result.outcome !== 'complete' &&
      !(result.outcome === 'refused' && result.error !== undefined) &&
      !(result.outcome === 'incomplete' && (result.detail ?? '').startsWith('error event')),
  );
}
