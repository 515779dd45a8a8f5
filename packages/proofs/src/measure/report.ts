/** Writes result files of measurements and computes the spread of their figures. */
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

const resultFolder = path.resolve(import.meta.dirname, '..', '..', '..', '..', 'docs', 'measurements');

/** Minimum, median and maximum of a figure over several runs. */
export interface Spread {
  readonly least: number;
  readonly median: number;
  readonly greatest: number;
}

/** Returns the spread of figures. */
export function spreadOf(figures: readonly number[]): Spread {
  const sorted = [...figures].sort((first, second) => first - second);
  const at = (index: number): number => sorted[index] ?? Number.NaN;
  return { least: at(0), median: at(Math.floor(sorted.length / 2)), greatest: at(sorted.length - 1) };
}

/** Writes a measurement to `docs/measurements/<name>.json`. */
export async function writeReport(name: string, report: unknown): Promise<void> {
  await fs.mkdir(resultFolder, { recursive: true });
  await fs.writeFile(path.join(resultFolder, `${name}.json`), `${JSON.stringify(report, null, 2)}\n`);
}
