/** Payments with idempotency keys that callers repeat at other daemons while seeded faults are injected. */
import * as standins from '@jayhaven/standins';
import * as harness from '../../harness/index.js';

/** Service that runs payments in these tests. */
export const service = 'booking';
const partner = 'solano';
/** Maximum number of calls that one caller sends for one key. */
const maximumCalls = 8;
const callDeadlineMs = 2_500;
const pauseBetweenCallsMs = 150;
/** Time after the last fault for claims to be granted again and for claims of killed daemons to be resolved. */
const recoveryMs = 10_000;

/** Starts daemons and two targets of the payment service. */
export async function startPaymentCluster(seed: number): Promise<harness.Cluster> {
  const cluster = await harness.Cluster.start({
    daemons: 4,
    services: [{ name: service }, { name: service }],
    partners: [partner],
    proxies: { log: true },
    seed,
  });
  await cluster.operator(partner).setService(service);
  for (const [index] of cluster.daemons.entries()) {
    await harness.waitUntil('the service is configured at every daemon', 5_000, async () => {
      return (await cluster.operator(partner, index).value(`${partner}/services/${service}`)) !== undefined;
    });
  }
  return cluster;
}

/** Sends one payment to a daemon. */
export function pay(
  cluster: harness.Cluster,
  daemonIndex: number,
  key: string,
  deadlineMs = callDeadlineMs,
): Promise<harness.CallResult> {
  const body = JSON.stringify({ pay: key });
  const call = { partner, service, key, body, deadlineMs, timeoutMs: deadlineMs + 3_000 };
  return cluster.callers.callService(cluster.daemon(daemonIndex).callersUrl, call);
}

/** Pays with a key until the payment is known to have run; every repeat goes to another daemon. */
export async function payWithRepeats(
  cluster: harness.Cluster,
  key: string,
  random: standins.RandomSource,
): Promise<void> {
  let daemonIndex = Math.floor(random.next() * cluster.daemons.length);
  for (let call = 1; call <= maximumCalls; call += 1) {
    const result = await pay(cluster, daemonIndex, key);
    if (result.outcome === 'complete') {
      return;
    }
    daemonIndex = (daemonIndex + 1 + Math.floor(random.next() * (cluster.daemons.length - 1))) % cluster.daemons.length;
    await harness.delay(pauseBetweenCallsMs);
  }
}

/** Number of times that the service ran the payment of a key. */
export function runCount(cluster: harness.Cluster, key: string): number {
  return cluster.observer.serviceCalls(service).filter((call) => call.key === key).length;
}

/** Injects a fault and clears it; a daemon that it stops is running again when the promise resolves. */
export type Fault = (
  cluster: harness.Cluster,
  daemon: harness.DaemonHandle,
  random: standins.RandomSource,
) => Promise<void>;

/** Faults that payments must survive. */
export const paymentFaults: Readonly<Record<string, Fault>> = {
  daemonKilled: async (_cluster, daemon) => {
    await daemon.kill();
    await harness.delay(200);
    daemon.start();
    await daemon.waitUntilReady();
  },
  daemonPaused: async (_cluster, daemon) => {
    daemon.pause();
    await harness.delay(800);
    daemon.resume();
  },
  acknowledgementsLost: async (cluster) => {
    await cluster.log.control({ loseAcknowledgements: 0.5 });
    await harness.delay(800);
    await cluster.log.control({ loseAcknowledgements: false });
  },
  logOutage: async (cluster, _daemon, random) => {
    await cluster.log.control({ outage: random.next() < 0.5 ? 'hang' : true });
    await harness.delay(700);
    await cluster.log.control({ outage: false });
  },
  appendsStalled: async (cluster) => {
    await cluster.log.control({ stallAppends: true });
    await harness.delay(600);
    await cluster.log.control({ stallAppends: false });
  },
  connectionsClosed: async (cluster) => {
    await controlServices(cluster, { closeBeforeAnswer: 0.4, closeKeepAlive: 0.4 });
    await harness.delay(600);
    await controlServices(cluster, { closeBeforeAnswer: false, closeKeepAlive: false });
  },
};

/**
 * Injects every fault once, in an order drawn from the random source. Only daemons of the given half are stopped, so
 * that two sequences can run concurrently.
 */
export async function injectAllFaults(
  cluster: harness.Cluster,
  half: 0 | 1,
  random: standins.RandomSource,
): Promise<string> {
  const names = Object.keys(paymentFaults)
    .map((name) => ({ name, rank: random.next() }))
    .sort((first, second) => first.rank - second.rank)
    .map(({ name }) => name);
  const daemons = cluster.daemons.filter((_daemon, index) => index % 2 === half);
  for (const name of names) {
    const daemon = daemons[Math.floor(random.next() * daemons.length)] ?? cluster.daemon(half);
    await paymentFaults[name]?.(cluster, daemon, random);
  }
  return names.join(' ');
}

/** Whether the answer to a payment is final: it ran, or its execution is unknown. */
export function isFinal(result: harness.CallResult): boolean {
  return result.outcome === 'complete' || (result.error?.executed === 'unknown' && result.error.type !== 'running');
}

/** Repeats a payment after the faults until its answer is final; a recovering log still causes refusals. */
export async function payUntilFinal(
  cluster: harness.Cluster,
  daemonIndex: number,
  key: string,
): Promise<harness.CallResult> {
  const endMs = Date.now() + recoveryMs;
  for (;;) {
    const result = await pay(cluster, daemonIndex, key, 5_000);
    if (isFinal(result) || Date.now() > endMs) {
      return result;
    }
    await harness.delay(pauseBetweenCallsMs);
  }
}

/** Sets faults of every target of the service. */
export async function controlServices(cluster: harness.Cluster, faults: unknown): Promise<void> {
  await Promise.all(cluster.services.map(({ standIn }) => standIn.control(faults)));
}
