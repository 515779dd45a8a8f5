import * as harness from '../harness/index.js';
import { ControlTopic } from '../tests/loads/ControlTopic.js';

/** Number of requests of the burst, as in section 7 of the design. */
export const burstRequests = 200;
const burstDaemons = 9;
const model = 'walkthrough';
/** Time of the transfer at the weight store's full speed, and of the initialization after it, milliseconds. */
const transferMs = 2_000;
const initializationMs = 1_000;
const weightBytes = 40e9;
/** The engine's batch holds the entire burst, so that first-token times show the load and not the engine's queue. */
const engineFlags: harness.Flags = { 'token-ms': 50, slots: 256, 'queue-limit': 256 };

/** Measurements of one burst. Times are in milliseconds. */
export interface BurstFigures {
  readonly replicasDecided: number;
  readonly replicasLoaded: number;
  /** Requests that got a complete answer. */
  readonly answered: number;
  /** Number of the other requests by reason. */
  readonly notAnswered: Readonly<Record<string, number>>;
  /** Append calls and records that the log accepted from the first request to the last answer. */
  readonly appends: number;
  readonly records: number;
  readonly bareLoadMs: number;
  readonly firstTokenMs: { readonly fastest: number; readonly median: number; readonly slowest: number };
  /** Slowest first token of the same requests at a separate engine that already holds the model. */
  readonly directFirstTokenMs: number;
  /** Ratio of the slowest first token to the sum of the bare load time and the slowest direct first token. */
  readonly slowestRatioToDirect: number;
  /** Ratios of the slowest and the fastest first token to the bare load time. */
  readonly slowestRatio: number;
  readonly fastestRatio: number;
  /** Time from the first request to the end of each step. */
  readonly stepsMs: {
    readonly decided: number;
    readonly orderTaken: number;
    readonly readyAtEngine: number;
    readonly readyInLog: number;
    readonly firstRequestAtEngine: number;
    readonly lastRequestAtEngine: number;
  };
  readonly durationMs: number;
  readonly violations: readonly string[];
}

/** Options of a burst. */
export interface BurstOptions {
  readonly fencing?: 'checked' | 'ignored';
  readonly seed?: number;
  /** Called after the cluster is ready and before the first request. */
  readonly prepare?: (cluster: harness.Cluster) => Promise<void>;
}

/** Starts a cluster, sends the first requests for one cold model to all daemons at once, and measures. */
export async function runBurst(options: BurstOptions = {}): Promise<BurstFigures> {
  const fencing = options.fencing ?? 'checked';
  await using cluster = await harness.Cluster.start({
    daemons: burstDaemons,
    engines: [{ fencing }, { fencing }],
    engine: { 'load-ms': initializationMs, ...engineFlags },
    weightStore: { 'bytes-per-second': weightBytes / (transferMs / 1000) },
    seed: options.seed ?? 1,
  });
  const topic = new ControlTopic(cluster);
  const operator = cluster.operator('solano');
  await operator.setModel(model, {
    weightBytes: [weightBytes],
    expectedLoadMilliseconds: transferMs + initializationMs,
  });
  const key = `solano/models/${model}`;
  await cluster.timesUntilInForce('solano', key, (await operator.value(key))?.value, 10_000);
  await harness.findOwner(cluster);
  await options.prepare?.(cluster);
  const directFirstTokenMs = await measureDirect();
  return await measure(cluster, topic, directFirstTokenMs);
}

/** Sends the same requests to a loaded engine without any daemon, which shows the limit of stand-in and machine. */
async function measureDirect(): Promise<number> {
  await using directCluster = await harness.Cluster.prepare({ daemons: 0, engines: [{}], engine: engineFlags });
  const [engine] = directCluster.engines;
  const url = engine?.standIn.url ?? '';
  const body = JSON.stringify({ parameters: { version: '1', bytes: [1] } });
  await fetch(`${url}/v2/repository/models/${model}/load`, { method: 'POST', body });
  await harness.waitUntil('the model is loaded', 10_000, async () => {
    await directCluster.observer.copyRecords();
    return directCluster.observer.engineRecords().some(({ records }) => records.models.at(-1)?.state === 'READY');
  });
  const calls = Array.from({ length: burstRequests }, () =>
    directCluster.callers.complete(url, { partner: 'solano', model }),
  );
  const results = await Promise.all(calls);
  return round(Math.max(...results.map((result) => result.firstTokenMs)));
}

async function measure(
  cluster: harness.Cluster,
  topic: ControlTopic,
  directFirstTokenMs: number,
): Promise<BurstFigures> {
  const before = await readLogCounters(cluster);
  const startMs = performance.now();
  const startedAtMs = Date.now();
  const calls = Array.from({ length: burstRequests }, (_value, index) =>
    cluster.callers.complete(cluster.daemon(index % burstDaemons).callersUrl, { partner: 'solano', model }),
  );
  const results = await Promise.all(calls);
  const durationMs = performance.now() - startMs;
  const after = await readLogCounters(cluster);
  const violations = await cluster.observer.violations({ replicasPerModel: 1 });
  const bareLoadMs = bareLoadMsOf(cluster);
  const answered = results.filter((result) => result.outcome === 'complete');
  const sorted = answered.map((result) => result.firstTokenMs).sort((first, second) => first - second);
  const [fastest = Number.NaN] = sorted;
  const median = sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
  const slowest = sorted.at(-1) ?? Number.NaN;
  return {
    replicasDecided: (await topic.decidedLoads(`solano/${model}`)).length,
    replicasLoaded: cluster.observer.replicaSpans(`solano/${model}`).length,
    answered: answered.length,
    notAnswered: countByReason(results.filter((result) => result.outcome !== 'complete')),
    appends: after.appends - before.appends,
    records: after.records - before.records,
    bareLoadMs,
    firstTokenMs: { fastest: round(fastest), median: round(median), slowest: round(slowest) },
    directFirstTokenMs,
    slowestRatioToDirect: round(slowest / (bareLoadMs + directFirstTokenMs), 3),
    slowestRatio: round(slowest / bareLoadMs, 3),
    fastestRatio: round(fastest / bareLoadMs, 3),
    stepsMs: await readStepTimes(cluster, topic, startedAtMs),
    durationMs: round(durationMs),
    violations,
  };
}

async function readLogCounters(
  cluster: harness.Cluster,
): Promise<{ readonly appends: number; readonly records: number }> {
  return (await cluster.log.control()) as { readonly appends: number; readonly records: number };
}

/** Time from the start of the load to its end in the engine's own records. */
function bareLoadMsOf(cluster: harness.Cluster): number {
  const records = cluster.observer.engineRecords().flatMap((entry) => entry.records.models);
  const started = records.find((record) => record.state === 'LOADING');
  const ready = records.find((record) => record.state === 'READY');
  return started && ready ? ready.timeMs - started.timeMs : Number.NaN;
}

async function readStepTimes(
  cluster: harness.Cluster,
  topic: ControlTopic,
  startedAtMs: number,
): Promise<BurstFigures['stepsMs']> {
  const records = cluster.observer.engineRecords().flatMap((entry) => entry.records.models);
  const requests = cluster.observer.engineRecords().flatMap((entry) => entry.records.requests);
  const arrivals = requests.map((request) => request.arrivedMs);
  const recordTimeMs = async (kind: string): Promise<number> =>
    (await topic.read()).find((record) => record.accepted && record.body.kind === kind)?.timeMs ?? Number.NaN;
  const stateTimeMs = (state: string): number => records.find((record) => record.state === state)?.timeMs ?? Number.NaN;
  return {
    decided: (await recordTimeMs('loadDecided')) - startedAtMs,
    orderTaken: stateTimeMs('LOADING') - startedAtMs,
    readyAtEngine: stateTimeMs('READY') - startedAtMs,
    readyInLog: (await recordTimeMs('replicaReady')) - startedAtMs,
    firstRequestAtEngine: Math.min(...arrivals) - startedAtMs,
    lastRequestAtEngine: Math.max(...arrivals) - startedAtMs,
  };
}

function countByReason(results: readonly harness.CallResult[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { outcome, error, detail } of results) {
    const reason = error === undefined ? `${outcome}: ${detail ?? ''}` : `${error.type}: ${error.message}`;
    counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function round(value: number, digits = 0): number {
  return Number(value.toFixed(digits));
}
