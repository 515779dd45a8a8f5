/** Measures the time until targets on VMs that the VM list shows as leaving receive no new work. */
import * as harness from '../../harness/index.js';
import { loadOnBothEngines, model, partner } from './loadedCluster.js';
import { SteadyLoad } from './SteadyLoad.js';

const service = 'booking';
/** Delay of the VM list behind the platform, milliseconds. */
const listLagMs = 1_000;
/** Longest time after the list shows a VM as leaving until its targets receive no new work, milliseconds. */
export const withdrawalLimitMs = 5_000;
/** Time for which the load continues after the limit, so that late work is observed, milliseconds. */
const observationMs = 1_000;

/** Faults that are injected while a VM leaves. */
export const leavingFaults = ['none', 'oneDaemonCutOff', 'logDown'] as const;
export type LeavingFault = (typeof leavingFaults)[number];

/** Measurements of one run. */
export interface LeavingOutcome {
  /** Time from the change of the list to the last new work of the target, milliseconds; 0 if there was none. */
  readonly engineMs: number;
  readonly serviceMs: number;
  /** The same for each daemon's requests to the engine. */
  readonly engineMsByDaemon: readonly number[];
  readonly requests: number;
  /** Requests that reached the leaving engine before the change; 0 means that it was not in use. */
  readonly workBefore: number;
  readonly failed: readonly harness.CallResult[];
  readonly violations: readonly string[];
}

/** Starts three daemons, two engines that both hold the model, and two targets of a service. */
export async function startLeavingCluster(): Promise<harness.Cluster> {
  const cluster = await harness.Cluster.start({
    daemons: 3,
    engines: [{}, {}],
    services: [{ name: service }, { name: service }],
    partners: [partner],
    engine: { 'token-ms': 2, slots: 64 },
    vmList: { 'lag-ms': listLagMs },
    weightStore: { 'bytes-per-second': 1e12 },
    proxies: { log: true, vmList: true, peers: true },
  });
  await cluster.operator(partner).setService(service);
  await loadOnBothEngines(cluster);
  return cluster;
}

/** Marks the VMs of the first engine and the first service as leaving under load. */
export async function setVmsLeaving(cluster: harness.Cluster, fault: LeavingFault): Promise<LeavingOutcome> {
  const load = new SteadyLoad();
  const daemonOf = new Map<string, number>();
  for (const [index, daemon] of cluster.daemons.entries()) {
    load.start(4, async () => {
      const result = await cluster.callers.complete(daemon.callersUrl, { partner, model, maximumTokens: 4 });
      daemonOf.set(result.promptHash ?? '', index);
      return result;
    });
    load.start(2, () => cluster.callers.callService(daemon.callersUrl, { partner, service, method: 'GET' }));
  }
  await harness.delay(500);
  await injectFault(cluster, fault);
  const listedMs = Date.now() + listLagMs;
  await Promise.all([cluster.setVmState('engine-1', 'leaving'), cluster.setVmState('service-1', 'leaving')]);
  await harness.delay(listLagMs + withdrawalLimitMs + observationMs);
  const results = await load.stop();
  const violations = await cluster.observer.violations();
  const arrivals = cluster.observer
    .engineRecords()
    .filter(({ engine }) => engine === 'engine-1')
    .flatMap(({ records }) => records.requests)
    .filter(({ outcome }) => outcome !== 'refused');
  const after = (times: readonly number[]): number => Math.max(0, ...times.map((timeMs) => timeMs - listedMs));
  const engineMsByDaemon = cluster.daemons.map((_daemon, index) =>
    after(arrivals.filter(({ promptHash }) => daemonOf.get(promptHash) === index).map(({ arrivedMs }) => arrivedMs)),
  );
  return {
    engineMs: after(arrivals.map(({ arrivedMs }) => arrivedMs)),
    serviceMs: lastServiceCallMs(cluster, listedMs),
    engineMsByDaemon,
    requests: results.length,
    workBefore: arrivals.filter(({ arrivedMs }) => arrivedMs < listedMs).length,
    failed: results.filter(({ outcome }) => outcome !== 'complete'),
    violations,
  };
}

async function injectFault(cluster: harness.Cluster, fault: LeavingFault): Promise<void> {
  if (fault === 'logDown') {
    await cluster.log.control({ outage: true });
  } else if (fault === 'oneDaemonCutOff') {
    const { proxies } = cluster.daemon(2);
    await Promise.all([proxies.log?.control({ cut: true }), proxies.vmList?.control({ cut: true })]);
  }
}

/** Time from the change of the list to the last call that the leaving service ran, found by binary search. */
function lastServiceCallMs(cluster: harness.Cluster, listedMs: number): number {
  let lowerBoundMs = 0;
  let upperBoundMs = listLagMs + withdrawalLimitMs + observationMs;
  if (cluster.observer.workAfter('service-1', listedMs) === 0) {
    return 0;
  }
  while (upperBoundMs - lowerBoundMs > 1) {
    const middleMs = Math.floor((lowerBoundMs + upperBoundMs) / 2);
    if (cluster.observer.workAfter('service-1', listedMs + middleMs) > 0) {
      lowerBoundMs = middleMs;
    } else {
      upperBoundMs = middleMs;
    }
  }
  return upperBoundMs;
}
