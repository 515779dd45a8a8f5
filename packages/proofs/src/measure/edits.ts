/**
 * Measures the time from sending an edit until it is in force on all 9 daemons. Writes docs/measurements/edits.json.
 * Usage: node packages/proofs/dist/measure/edits.js [runs]
 */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import * as harness from '../harness/index.js';

const daemonCount = 9;
const defaultRuns = 10;
const key = 'solano/defaults/queueLimit';
/** Well above the goal of 3 s, so that a slower edit is measured instead of ending the run. */
const timeoutMs = 20_000;
/** Time for the daemons to detect a fault or its end, milliseconds. */
const detectionMs = 5000;
const pauseMs = 300;
/** Unmeasured edits at the start, which open connections and run code that is not yet compiled. */
const warmUpEdits = 5;
const logDelayMs = 700;

const outputFile = path.resolve(import.meta.dirname, '..', '..', '..', '..', 'docs', 'measurements', 'edits.json');

interface Condition {
  readonly name: string;
  readonly targetMs: number;
  readonly prepare: (cluster: harness.Cluster) => Promise<unknown>;
}

interface Run {
  /** Time from sending the edit until the answer that accepts it. */
  readonly acceptedMs: number;
  /** Time from sending the edit until every daemon reports it. */
  readonly everywhereMs: number;
}

const conditions: readonly Condition[] = [
  { name: 'log well', targetMs: 1000, prepare: () => Promise.resolve() },
  {
    name: `log slow (${logDelayMs} ms added to each append and read)`,
    targetMs: 3000,
    prepare: (cluster) => cluster.log.control({ appendDelayMs: logDelayMs, readDelayMs: logDelayMs }),
  },
  {
    name: 'one daemon cut off from the log',
    targetMs: 3000,
    prepare: async (cluster) => {
      await cluster.log.control({ appendDelayMs: 0, readDelayMs: 0 });
      await cluster.daemon(daemonCount - 1).proxies.log?.control({ cut: true });
      await harness.waitUntil('the daemon detects that it is cut off', timeoutMs, async () => {
        const answer = await cluster.operator('solano', daemonCount - 1).edit(key, 0, null);
        return answer.status === 503;
      });
    },
  },
];

async function measureOnce(cluster: harness.Cluster, value: number): Promise<Run> {
  const operator = cluster.operator('solano', value % (daemonCount - 1));
  const current = await operator.value(key);
  const startMs = performance.now();
  let acceptedMs = Number.NaN;
  const edit = operator.edit(key, value, current?.version ?? null).then((answer) => {
    acceptedMs = performance.now() - startMs;
    if (answer.status !== 200) {
      throw new Error(`edit failed: ${JSON.stringify(answer)}`);
    }
  });
  const [times] = await Promise.all([cluster.timesUntilInForce('solano', key, value, timeoutMs), edit]);
  return { acceptedMs: Math.round(acceptedMs), everywhereMs: Math.round(Math.max(...times)) };
}

function spreadOf(values: readonly number[]): {
  readonly least: number;
  readonly median: number;
  readonly most: number;
} {
  const sorted = [...values].sort((first, second) => first - second);
  const quantile = (share: number): number => sorted[Math.round(share * (sorted.length - 1))] ?? Number.NaN;
  return { least: quantile(0), median: quantile(0.5), most: quantile(1) };
}

async function main(runs: number): Promise<void> {
  await using cluster = await harness.Cluster.start({ daemons: daemonCount, proxies: { log: true } });
  const results: unknown[] = [];
  let value = 0;
  for (; value < warmUpEdits; value += 1) {
    await measureOnce(cluster, value + 1);
  }
  for (const condition of conditions) {
    await condition.prepare(cluster);
    await harness.delay(detectionMs);
    const measured: Run[] = [];
    for (let run = 0; run < runs; run += 1) {
      value += 1;
      measured.push(await measureOnce(cluster, value));
      await harness.delay(pauseMs);
    }
    const everywhere = spreadOf(measured.map(({ everywhereMs }) => everywhereMs));
    const accepted = spreadOf(measured.map(({ acceptedMs }) => acceptedMs));
    const { name, targetMs } = condition;
    results.push({ name, targetMs, met: everywhere.most < targetMs, everywhereMs: everywhere, acceptedMs: accepted });
    process.stdout.write(`${name}: in force everywhere ${JSON.stringify(everywhere)} ms\n`);
  }
  const report = { daemons: daemonCount, runs, node: process.version, results };
  await fs.mkdir(path.dirname(outputFile), { recursive: true });
  await fs.writeFile(outputFile, `${JSON.stringify(report, null, 2)}\n`);
}

await main(Number(process.argv[2] ?? defaultRuns));
