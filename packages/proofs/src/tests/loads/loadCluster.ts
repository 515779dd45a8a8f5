import * as harness from '../../harness/index.js';
import { ControlTopic } from './ControlTopic.js';

/** Size of a model of which an engine of the harness (80e9 bytes) holds only one. */
export const largeModelBytes = 50e9;
/** Duration of the owner's lease, milliseconds; a paused owner is replaced when it expires. */
export const leaseMs = 1_500;

/** A cluster and its control topic. */
export interface LoadCluster extends AsyncDisposable {
  readonly cluster: harness.Cluster;
  readonly topic: ControlTopic;
}

/** Starts a cluster with short leases, fault proxies in front of targets and log, and large models of Solano. */
export async function startLoadCluster(
  models: readonly string[],
  options: Partial<harness.ClusterOptions> = {},
): Promise<LoadCluster> {
  const cluster = await harness.Cluster.start({
    daemons: 3,
    engines: [{}],
    engine: { 'token-ms': 2, 'load-ms': 500 },
    weightStore: { 'bytes-per-second': 1e12 },
    proxies: { targets: true, log: true },
    settings: { owner: { lease_ms: leaseMs, renew_ms: 500, order_delivery_ms: 2_000 } },
    ...options,
  });
  const operator = cluster.operator('solano');
  for (const model of models) {
    await operator.setModel(model, { weightBytes: [largeModelBytes] });
  }
  await harness.findOwner(cluster);
  return {
    cluster,
    topic: new ControlTopic(cluster),
    [Symbol.asyncDispose]: () => cluster[Symbol.asyncDispose](),
  };
}

/** A running daemon that is not the given one. */
export function otherDaemon(cluster: harness.Cluster, daemon: harness.DaemonHandle): harness.DaemonHandle {
  const other = cluster.daemons.find((candidate) => candidate !== daemon && candidate.isRunning);
  if (!other) {
    throw new Error(`no daemon is running besides ${daemon.name}`);
  }
  return other;
}

/** The engine by index. */
export function engineAt(cluster: harness.Cluster, index = 0): harness.Target {
  const engine = cluster.engines[index];
  if (!engine) {
    throw new Error(`cluster has no engine ${index}`);
  }
  return engine;
}

/** The fault proxy in front of an engine. */
export function proxyOf(engine: harness.Target): harness.StandInHandle {
  if (!engine.proxy) {
    throw new Error(`${engine.vm} has no proxy`);
  }
  return engine.proxy;
}

/** The fault proxy between a daemon and the log. */
export function logProxyOf(daemon: harness.DaemonHandle): harness.StandInHandle {
  if (!daemon.proxies.log) {
    throw new Error(`${daemon.name} has no log proxy`);
  }
  return daemon.proxies.log;
}

/** Text that only orders sent under one claim contain; a fault proxy selects them by it. */
export function orderText(claim: number): string {
  return `"fencing_token":${claim}}`;
}

/** Requests a completion of one of Solano's models. */
export function request(
  cluster: harness.Cluster,
  daemon: harness.DaemonHandle,
  model: string,
  deadlineMs = 20_000,
): Promise<harness.CallResult> {
  return cluster.callers.complete(daemon.callersUrl, { partner: 'solano', model, deadlineMs });
}

/** Waits until an engine holds a model in a state. */
export async function waitForModelState(
  cluster: harness.Cluster,
  model: string,
  state: 'LOADING' | 'READY' | 'UNAVAILABLE',
  timeoutMs = 10_000,
): Promise<void> {
  await harness.waitUntil(`${model} is ${state}`, timeoutMs, async () => {
    await cluster.observer.copyRecords();
    return cluster.observer
      .engineRecords()
      .some(({ records }) => records.models.findLast((record) => record.name === model)?.state === state);
  });
}

/** Whether a request got a complete answer, or was refused as not run with a time after which to retry. */
export function isCompleteOrRetryable(result: harness.CallResult): boolean {
  const refused = result.outcome === 'refused' && result.error?.executed === 'no';
  return result.outcome === 'complete' || (refused && (result.error.retryAfterMs ?? 0) > 0);
}
