/**
 * Measures the cost of the control plane and writes `docs/measurements/capacity.json`.
 * Usage: node main.js [part...]; parts: idle, load, claims, tokens, claimsState, snapshot, proxy. Without arguments, all are measured.
 */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { measureClaimsState } from './claimsState.js';
import { fitCollectors, fitSeries } from './fits.js';
import { measureProxyCost } from './proxyCost.js';
import { measureRun } from './measureRun.js';
import { measureSnapshot } from './snapshotCost.js';
import { claimRuns, idleRuns, loadRuns, tokenRuns } from './runs.js';
import type { RunResult, RunShape } from './Types.js';

const times = { settleMs: 4_000, windowMs: 10_000 };
const file = path.resolve(import.meta.dirname, '..', '..', '..', '..', 'docs', 'measurements', 'capacity.json');

const measurements: Readonly<Record<string, () => Promise<unknown>>> = {
  idle: () => measureCluster(idleRuns),
  load: () => measureCluster(loadRuns),
  claims: () => measureCluster(claimRuns),
  tokens: () => measureCluster(tokenRuns),
  claimsState: () => Promise.resolve(measureClaimsState()),
  snapshot: () => Promise.resolve(measureSnapshot()),
  proxy: measureProxyCost,
};

async function measureCluster(shapes: readonly RunShape[]): Promise<unknown> {
  const results: RunResult[] = [];
  for (const shape of shapes) {
    const result = (await tryRun(shape)) ?? (await tryRun(shape));
    if (result) {
      results.push(result);
    }
  }
  return { times, runs: results, fits: [...fitSeries(results), ...fitCollectors(results)] };
}

/** A run fails if another program takes a free port before a daemon binds it; the failure is printed. */
async function tryRun(shape: RunShape): Promise<RunResult | undefined> {
  const [load = 0] = os.loadavg();
  try {
    const result = await measureRun(shape, times);
    print(`${JSON.stringify(shape)} measured, load average ${load.toFixed(1)}`);
    return result;
  } catch (error) {
    print(`${JSON.stringify(shape)} failed: ${String(error)}`);
    return undefined;
  }
}

function print(text: string): void {
  process.stdout.write(`${new Date().toISOString()} ${text}\n`);
}

async function readMeasured(): Promise<Record<string, unknown>> {
  return fs.readFile(file, 'utf8').then(
    (text) => JSON.parse(text) as Record<string, unknown>,
    () => ({}),
  );
}

const selected = process.argv.slice(2);
for (const [name, measure] of Object.entries(measurements)) {
  if (selected.length > 0 && !selected.includes(name)) {
    continue;
  }
  const [loadBefore = 0] = os.loadavg();
  const measured = await measure();
  const [loadAfter = 0] = os.loadavg();
  const machine = { cores: os.availableParallelism(), node: process.version, loadBefore, loadAfter };
  const all = { ...(await readMeasured()), [name]: { machine, measured } };
  await fs.mkdir(path.dirname(file), { recursive: true });
  await fs.writeFile(file, `${JSON.stringify(all, undefined, 1)}\n`);
  print(`${name} is written`);
}
process.exit(0);
