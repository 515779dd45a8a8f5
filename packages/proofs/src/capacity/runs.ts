/** The runs of the benchmark: one base shape, and series that vary one size at a time. */
import type { RunShape } from './Types.js';

const base: RunShape = {
  series: 'base',
  daemons: 6,
  targets: 40,
  models: 50,
  loadedModels: 0,
  requestsPerSecond: 0,
  editsPerMinute: 0,
  claimsPerSecond: 0,
};

function vary(series: string, changes: readonly Partial<RunShape>[], fixed: Partial<RunShape> = {}): RunShape[] {
  return changes.map((change) => ({ ...base, ...fixed, ...change, series }));
}

/** All runs in the order in which they are measured. */
export const runs: readonly RunShape[] = [
  ...vary('daemons', [{ daemons: 3 }, { daemons: 6 }, { daemons: 9 }, { daemons: 15 }]),
  ...vary('targets', [{ targets: 10 }, { targets: 40 }, { targets: 160 }]),
  ...vary('models', [{ models: 50 }, { models: 400 }, { models: 1600 }]),
  ...vary('edits', [{ editsPerMinute: 0 }, { editsPerMinute: 60 }, { editsPerMinute: 600 }]),
  ...vary('requests', [{ requestsPerSecond: 60 }, { requestsPerSecond: 120 }, { requestsPerSecond: 240 }], {
    loadedModels: 40,
  }),
  // The rate per target is the same, so that each digest changes as often.
  ...vary('digestTargets', [
    { targets: 10, loadedModels: 10, requestsPerSecond: 30 },
    { targets: 20, loadedModels: 20, requestsPerSecond: 60 },
    { targets: 40, loadedModels: 40, requestsPerSecond: 120 },
  ]),
  ...vary('digestDaemons', [{ daemons: 3 }, { daemons: 6 }, { daemons: 12 }], {
    loadedModels: 40,
    requestsPerSecond: 120,
  }),
  ...vary('claims', [{ claimsPerSecond: 20 }, { claimsPerSecond: 80 }, { claimsPerSecond: 240 }]),
];
