/** Compares the cost of a request through a daemon with that through a minimal forwarder to the same engine. */
import * as http from 'node:http';
import * as path from 'node:path';
import * as hdr from 'hdr-histogram-js';
import { bearerKey, Cluster, freePort, ManagedProcess, waitUntil } from '../harness/index.js';
import { readUsage } from './ProcessProbe.js';

const repetitions = 5;
const warmUpMs = 2_000;
const latencyMs = 2_500;
const throughputMs = 3_000;
/** Requests in flight while the rate per core is measured; enough to keep the measured process busy. */
const saturatingRequests = 32;
const nanosecondsPerMillisecond = 1e6;

interface Route {
  readonly name: 'direct' | 'forwarder' | 'daemon';
  readonly port: number;
  /** Process whose processor time is measured. */
  readonly pid: number;
}

interface Measured {
  readonly perSecond: number;
  /** Requests per second of processor time. */
  readonly perCoreSecond: number;
  /** Share of one core that the process used. */
  readonly core: number;
  readonly medianMs: number;
  readonly p99Ms: number;
  readonly failed: number;
}

interface Repetition {
  readonly route: Route['name'];
  /** Measured with one request in flight. */
  readonly alone: Measured;
  /** Measured with many requests in flight. */
  readonly saturated: Measured;
}

/** Measures all routes in turn, repeatedly. */
export async function measureProxyCost(): Promise<unknown> {
  const enginePort = await freePort();
  const forwarderPort = await freePort();
  await using engine = new ManagedProcess('engine', scriptOf('instantEngine'), [String(enginePort)]);
  await using forwarder = new ManagedProcess('forwarder', scriptOf('forwarder'), [
    String(forwarderPort),
    `127.0.0.1:${enginePort}`,
  ]);
  await Promise.all([engine.firstLine(), forwarder.firstLine()]);
  await using cluster = await Cluster.start({ daemons: 1, settings: { daemon: { log_level: 'warn' } } });
  const daemon = cluster.daemon(0);
  await loadModel(cluster, enginePort);
  const routes: readonly Route[] = [
    { name: 'direct', port: enginePort, pid: engine.pid },
    { name: 'forwarder', port: forwarderPort, pid: forwarder.pid },
    { name: 'daemon', port: daemon.identity.ports.callers, pid: daemon.process.pid },
  ];
  return summarise(await measureRoutes(routes));
}

async function loadModel(cluster: Cluster, enginePort: number): Promise<void> {
  const { entries } = (await cluster.vmList.control()) as { readonly entries: readonly unknown[] };
  const labels = { vm: 'engine-1', failure_domain: 'fd-a', state: 'live', role: 'engine' };
  const engine = {
    targets: [`127.0.0.1:${enginePort}`],
    labels: { ...labels, accelerators: '80000000000', fencing: 'checked' },
  };
  await cluster.vmList.control([...entries, engine], 'PUT');
  await cluster.operator('solano').setModel('m', { weightBytes: [1e9], expectedLoadMilliseconds: 50 });
  await waitUntil('the model answers', 20_000, async () => {
    const agent = new http.Agent();
    const status = await send(agent, cluster.daemon(0).identity.ports.callers);
    agent.destroy();
    return status === 200;
  });
}

async function measureRoutes(routes: readonly Route[]): Promise<readonly Repetition[]> {
  for (const route of routes) {
    await sendLoad(route, saturatingRequests, warmUpMs);
  }
  const measured: Repetition[] = [];
  for (let repetition = 0; repetition < repetitions; repetition += 1) {
    for (const route of routes) {
      const alone = await sendLoad(route, 1, latencyMs);
      const saturated = await sendLoad(route, saturatingRequests, throughputMs);
      measured.push({ route: route.name, alone, saturated });
    }
  }
  return measured;
}

/** Keeps a number of requests in flight for a duration, and measures them. */
async function sendLoad(route: Route, concurrency: number, durationMs: number): Promise<Measured> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: concurrency });
  const histogram = hdr.build({
    lowestDiscernibleValue: 1000,
    highestTrackableValue: 60e9,
    numberOfSignificantValueDigits: 3,
  });
  const before = await readUsage(route.pid);
  const startedMs = performance.now();
  let failed = 0;
  const runWorker = async (): Promise<void> => {
    while (performance.now() - startedMs < durationMs) {
      const sentMs = performance.now();
      const status = await send(agent, route.port);
      failed += status === 200 ? 0 : 1;
      histogram.recordValue(Math.round((performance.now() - sentMs) * nanosecondsPerMillisecond));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
  const elapsedMs = performance.now() - startedMs;
  const processorMs = (await readUsage(route.pid)).processorMs - before.processorMs;
  agent.destroy();
  return {
    perSecond: (histogram.totalCount * 1000) / elapsedMs,
    perCoreSecond: (histogram.totalCount * 1000) / processorMs,
    core: processorMs / elapsedMs,
    medianMs: histogram.getValueAtPercentile(50) / nanosecondsPerMillisecond,
    p99Ms: histogram.getValueAtPercentile(99) / nanosecondsPerMillisecond,
    failed,
  };
}

const body = JSON.stringify({
  model: 'solano/m',
  stream: false,
  max_tokens: 1,
  messages: [{ role: 'user', content: 'hi' }],
});

function send(agent: http.Agent, port: number): Promise<number> {
  return new Promise((resolve) => {
    const headers = {
      authorization: `Bearer ${bearerKey('caller', 'solano')}`,
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const options = { host: '127.0.0.1', port, path: '/v1/chat/completions', method: 'POST', agent, headers };
    const request = http.request(options, (response) => {
      response.resume();
      response.on('end', () => {
        resolve(response.statusCode ?? 0);
      });
    });
    request.on('error', () => {
      resolve(0);
    });
    request.end(body);
  });
}

interface Spread {
  readonly median: number;
  readonly lowest: number;
  readonly highest: number;
}

/** Computes differences and ratios within each repetition, because its routes ran one directly after the other. */
function summarise(measured: readonly Repetition[]): unknown {
  const repetitionsOf = (name: Route['name']): readonly Repetition[] => measured.filter(({ route }) => route === name);
  const forwarder = repetitionsOf('forwarder');
  const daemon = repetitionsOf('daemon');
  const pairs = daemon.flatMap((through, index) => {
    const bare = forwarder[index];
    return bare ? [{ through, bare }] : [];
  });
  return {
    repetitions: measured,
    addedMedianMs: spreadOf(pairs.map(({ through, bare }) => through.alone.medianMs - bare.alone.medianMs)),
    addedP99Ms: spreadOf(pairs.map(({ through, bare }) => through.alone.p99Ms - bare.alone.p99Ms)),
    forwarderPerCoreSecond: spreadOf(forwarder.map(({ saturated }) => saturated.perCoreSecond)),
    daemonPerCoreSecond: spreadOf(daemon.map(({ saturated }) => saturated.perCoreSecond)),
    shareOfForwarder: spreadOf(
      pairs.map(({ through, bare }) => through.saturated.perCoreSecond / bare.saturated.perCoreSecond),
    ),
  };
}

function spreadOf(values: readonly number[]): Spread {
  const sorted = [...values].sort((first, second) => first - second);
  return {
    median: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN,
    lowest: sorted[0] ?? Number.NaN,
    highest: sorted.at(-1) ?? Number.NaN,
  };
}

function scriptOf(name: string): string {
  return path.resolve(import.meta.dirname, '..', '..', 'dist', 'capacity', `${name}.js`);
}
