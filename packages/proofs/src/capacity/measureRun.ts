/** Measures one run: starts a cluster, waits until it settles, and compares readings at both ends of a window. */
import { delay } from '../harness/index.js';
import { CapacityCluster } from './CapacityCluster.js';
import { LoadGenerator, type LoadCounts } from './LoadGenerator.js';
import { readUsage, type ProcessReading, type Traffic } from './ProcessProbe.js';
import type { ByteRates, DaemonSample, RunResult, RunShape } from './Types.js';

/** Durations of the phases of a run, milliseconds. */
export interface RunTimes {
  readonly settleMs: number;
  readonly windowMs: number;
}

interface LogCounters {
  readonly appends: number;
  readonly records: number;
  readonly bytes: number;
}

/** Measures one shape. */
export async function measureRun(shape: RunShape, times: RunTimes): Promise<RunResult> {
  await using capacity = await CapacityCluster.open(shape);
  const load = new LoadGenerator(capacity.cluster, shape);
  try {
    await delay(times.settleMs);
    const owner = await capacity.ownerIndex();
    const before = await readAll(capacity, load);
    await delay(times.windowMs);
    const after = await readAll(capacity, load);
    const ports = portKindsOf(capacity);
    const daemons = after.daemons.map((reading, index) =>
      sampleOf(index, index === owner, before.daemons[index] ?? reading, reading, ports),
    );
    return { shape, daemons, ...ratesOf(before, after) };
  } finally {
    load.stop();
  }
}

interface ClusterReading {
  readonly timeMs: number;
  readonly daemons: readonly ProcessReading[];
  readonly log: LogCounters;
  readonly logServiceMs: number;
  readonly benchmarkMs: number;
  readonly counts: LoadCounts;
}

async function readAll(capacity: CapacityCluster, load: LoadGenerator): Promise<ClusterReading> {
  const daemons = await capacity.readDaemons();
  const log = (await capacity.cluster.log.control()) as LogCounters;
  const [service, benchmark] = await Promise.all([readUsage(capacity.cluster.log.process.pid), readUsage(process.pid)]);
  const usage = { logServiceMs: service.processorMs, benchmarkMs: benchmark.processorMs };
  return { timeMs: performance.now(), daemons, log, ...usage, counts: load.counts };
}

function ratesOf(before: ClusterReading, after: ClusterReading): Omit<RunResult, 'shape' | 'daemons'> {
  const seconds = (after.timeMs - before.timeMs) / 1000;
  const answers = after.counts.answerMs.slice(before.counts.answerMs.length).sort((a, b) => a - b);
  return {
    windowSeconds: seconds,
    logAppendsPerSecond: (after.log.appends - before.log.appends) / seconds,
    logRecordsPerSecond: (after.log.records - before.log.records) / seconds,
    logAppendBytesPerSecond: (after.log.bytes - before.log.bytes) / seconds,
    logServiceCore: (after.logServiceMs - before.logServiceMs) / (seconds * 1000),
    benchmarkCore: (after.benchmarkMs - before.benchmarkMs) / (seconds * 1000),
    completedPerSecond: (after.counts.completed - before.counts.completed) / seconds,
    failed: after.counts.failed,
    answerMs:
      answers.length === 0
        ? null
        : { median: answers[Math.floor(answers.length / 2)] ?? 0, largest: answers.at(-1) ?? 0 },
  };
}

type PortKinds = ReadonlyMap<number, keyof ByteRates>;

function portKindsOf({ cluster, fleet }: CapacityCluster): PortKinds {
  const ports = new Map<number, keyof ByteRates>([
    [cluster.log.port, 'log'],
    [cluster.vmList.port, 'vmList'],
  ]);
  for (const port of fleet.ports) {
    ports.set(port, 'targets');
  }
  for (const { identity } of cluster.daemons) {
    ports.set(identity.ports.peers, 'peers');
  }
  return ports;
}

function sampleOf(
  index: number,
  owner: boolean,
  before: ProcessReading,
  after: ProcessReading,
  ports: PortKinds,
): DaemonSample {
  const durationMs = after.timeMs - before.timeMs;
  const rates = { peers: 0, log: 0, vmList: 0, targets: 0 };
  let targets = 0;
  for (const key of Object.keys(after.traffic)) {
    const kind = ports.get(Number(key.split(':')[1]));
    const bytes = bytesOf(after.traffic, key) - bytesOf(before.traffic, key);
    if (kind !== undefined) {
      rates[kind] += (bytes * 1000) / durationMs;
    }
    targets += kind === 'targets' && bytes > 0 ? 1 : 0;
  }
  return {
    name: `entry-${index + 1}`,
    owner,
    watcher: rates.vmList > 0,
    targets,
    core: (after.processorMs - before.processorMs) / durationMs,
    residentBytes: after.residentBytes,
    heapBytes: after.heapBytes,
    bytesPerSecond: rates,
  };
}

function bytesOf(traffic: Traffic, key: string): number {
  const { sent, received } = traffic[key] ?? { sent: 0, received: 0 };
  return sent + received;
}
