/**
 * Measures the time from the failure of the owner until the next load decision, with the default lease, and writes
 * `docs/measurements/owner-failover.json`.
 */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as harness from '../harness/index.js';
import { ControlTopic } from '../tests/loads/ControlTopic.js';

const runs = 5;
const decisionLimitMs = 30_000;
const resultFile = path.resolve(
  ...[import.meta.dirname, '..', '..', '..', '..', 'docs', 'measurements', 'owner-failover.json'],
);

/** A killed owner refuses connections; a paused one does not answer, so its ownership ends only with its lease. */
type Ending = 'killed' | 'paused';

/** Returns the time from the failure of the owner to the record of the next load decision, milliseconds. */
async function run(ending: Ending, seed: number): Promise<number> {
  await using cluster = await harness.Cluster.start({
    daemons: 9,
    engines: [{}],
    engine: { 'load-ms': 300 },
    weightStore: { 'bytes-per-second': 1e12 },
    settings: { owner: { lease_ms: 6_000, renew_ms: 2_000 } },
    seed,
  });
  await cluster.operator('solano').setModel('walkthrough', { weightBytes: [40e9] });
  const owner = await harness.findOwner(cluster);
  const topic = new ControlTopic(cluster);
  const endedMs = Date.now();
  if (ending === 'killed') {
    await owner.process.kill();
  } else {
    owner.process.pause();
  }
  const other = cluster.daemons.find((daemon) => daemon !== owner);
  void cluster.callers.complete(other?.callersUrl ?? '', { partner: 'solano', model: 'walkthrough' });
  await topic.waitUntilDecided('solano/walkthrough', decisionLimitMs);
  const [decided] = await topic.decidedLoads('solano/walkthrough');
  return (decided?.timeMs ?? Number.NaN) - endedMs;
}

/** Called after each run, so that a failed run does not lose the results of earlier ones. */
async function writeResults(): Promise<void> {
  await fs.mkdir(path.dirname(resultFile), { recursive: true });
  const report = { measuredAt: new Date().toISOString(), processors: os.cpus().length, leaseMs: 6_000, runs: results };
  await fs.writeFile(resultFile, `${JSON.stringify(report, null, 2)}\n`);
}

const results: { ending: Ending; seed: number; untilDecidedMs: number; loadAverage: number }[] = [];
for (const ending of ['killed', 'paused'] as const) {
  for (let seed = 1; seed <= runs; seed += 1) {
    const loadAverage = Number((os.loadavg()[0] ?? Number.NaN).toFixed(1));
    results.push({ ending, seed, untilDecidedMs: await run(ending, seed), loadAverage });
    await writeResults();
  }
}
