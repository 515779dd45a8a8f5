/** Measures bursts of first requests for a cold model, and writes `docs/measurements/burst.json`. */
import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { runBurst, type BurstFigures } from './runBurst.js';

const runs = 5;
const resultFile = path.resolve(import.meta.dirname, '..', '..', '..', '..', 'docs', 'measurements', 'burst.json');

const figures: (BurstFigures & { readonly seed: number; readonly loadAverage: number })[] = [];
for (let seed = 1; seed <= runs; seed += 1) {
  const loadAverage = Number((os.loadavg()[0] ?? Number.NaN).toFixed(1));
  figures.push({ seed, loadAverage, ...(await runBurst({ seed })) });
}
await fs.mkdir(path.dirname(resultFile), { recursive: true });
const processors = os.cpus().length;
await fs.writeFile(
  resultFile,
  `${JSON.stringify({ measuredAt: new Date().toISOString(), processors, runs: figures }, null, 2)}\n`,
);
