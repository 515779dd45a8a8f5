/** Rolling replacement of all daemons under steady load. */
import * as harness from '../../harness/index.js';
import { Balancer } from './Balancer.js';
import { SteadyLoad } from './SteadyLoad.js';

const partner = 'solano';
/** Tokens of a stream; it lasts longer than the announcement of a stop, so streams are still open when that ends. */
const streamTokens = 150;
const unaryTokens = 20;

/** Results of a rolling replacement as its callers saw them. */
export interface RollingOutcome {
  readonly exitCodes: readonly (number | null)[];
  readonly requests: number;
  /** Requests without a complete answer, refused ones included. */
  readonly cut: readonly harness.CallResult[];
  readonly streams: number;
  readonly serviceCalls: number;
  readonly stopMs: readonly number[];
  readonly violations: readonly string[];
}

/** Starts three daemons with a loaded model and a service. */
export async function startRollingCluster(): Promise<harness.Cluster> {
  const cluster = await harness.Cluster.start({
    daemons: 3,
    engines: [{ flags: { slots: 64 } }, { flags: { slots: 64 } }],
    services: [{ name: 'booking', flags: { 'answer-ms': 50 } }],
    partners: [partner],
    engine: { 'token-ms': 10 },
    weightStore: { 'bytes-per-second': 1e12 },
  });
  await cluster.operator(partner).setModel('walkthrough', { weightBytes: [40e9] });
  await cluster.operator(partner).setService('booking');
  for (const daemon of cluster.daemons) {
    const call = { partner, model: 'walkthrough' };
    const result = await cluster.callers.complete(daemon.callersUrl, call);
    if (result.outcome !== 'complete') {
      throw new Error(`the model is not served: ${JSON.stringify(result)}`);
    }
  }
  return cluster;
}

/** Replaces every daemon in turn while callers use a load balancer; `signals` is the number of SIGTERMs to each. */
export async function replaceAllDaemons(cluster: harness.Cluster, signals = 1): Promise<RollingOutcome> {
  await using balancer = new Balancer(cluster);
  const load = startLoad(cluster, balancer);
  const exitCodes: (number | null)[] = [];
  const stopMs: number[] = [];
  for (const daemon of cluster.daemons) {
    const startMs = performance.now();
    const stopped = daemon.stop();
    for (let signal = 2; signal <= signals; signal += 1) {
      await harness.delay(200);
      process.kill(daemon.process.pid, 'SIGTERM');
    }
    exitCodes.push(await stopped);
    stopMs.push(Math.round(performance.now() - startMs));
    daemon.start();
    await daemon.waitUntilReady();
  }
  const results = await load.stop();
  return {
    ...{ exitCodes, stopMs, requests: results.length },
    cut: results.filter(({ outcome }) => outcome !== 'complete'),
    streams: results.filter(({ kind, body }) => kind === 'completion' && body === '').length,
    serviceCalls: results.filter(({ kind }) => kind === 'service').length,
    violations: await cluster.observer.violations(),
  };
}

function startLoad(cluster: harness.Cluster, balancer: Balancer): SteadyLoad {
  const load = new SteadyLoad();
  const { callers } = cluster;
  const model = { partner, model: 'walkthrough' };
  load.start(8, () =>
    callers.complete(balancer.next(), { ...model, stream: true, maximumTokens: streamTokens, deadlineMs: 20_000 }),
  );
  load.start(4, () => callers.complete(balancer.next(), { ...model, stream: false, maximumTokens: unaryTokens }));
  load.start(4, (caller, request) =>
    callers.callService(balancer.next(), { partner, service: 'booking', key: `pay-${caller}-${request}` }),
  );
  return load;
}
