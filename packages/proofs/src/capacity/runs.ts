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
  tokensPerRequest: 8,
  tokenMs: 100,
};

function vary(series: string, changes: readonly Partial<RunShape>[], fixed: Partial<RunShape> = {}): RunShape[] {
  return changes.map((change) => ({ ...base, ...fixed, ...change, series }));
}

/** Runs without requests that vary the sizes of the system and the rate of edits. */
export const idleRuns: readonly RunShape[] = [
  ...vary('daemons', [{ daemons: 3 }, { daemons: 6 }, { daemons: 9 }, { daemons: 15 }]),
  ...vary('targets', [{ targets: 10 }, { targets: 40 }, { targets: 160 }]),
  ...vary('models', [{ models: 50 }, { models: 400 }, { models: 1600 }]),
  ...vary('edits', [{ editsPerMinute: 0 }, { editsPerMinute: 60 }, { editsPerMinute: 600 }]),
];

/** Runs that vary the rate of requests, and the number of the digests that requests cause. */
export const loadRuns: readonly RunShape[] = [
  ...vary('requests', [{ requestsPerSecond: 60 }, { requestsPerSecond: 120 }, { requestsPerSecond: 240 }], {
    loadedModels: 40,
  }),
  // The rate per target is constant, so that each digest changes equally often.
  ...vary('digestTargets', [
    { targets: 10, loadedModels: 10, requestsPerSecond: 30 },
    { targets: 20, loadedModels: 20, requestsPerSecond: 60 },
    { targets: 40, loadedModels: 40, requestsPerSecond: 120 },
  ]),
  ...vary('digestDaemons', [{ daemons: 3 }, { daemons: 6 }, { daemons: 12 }], {
    loadedModels: 40,
    requestsPerSecond: 120,
  }),
];

/** Runs that separate the cost of a request from the cost of a token. */
export const tokenRuns: readonly RunShape[] = vary(
  'tokens',
  [{ tokensPerRequest: 8 }, { tokensPerRequest: 64 }, { tokensPerRequest: 256 }],
  { daemons: 3, targets: 8, models: 8, loadedModels: 8, requestsPerSecond: 30, tokenMs: 10 },
);

/** Runs that vary the rate of calls that need a claim. */
export const claimRuns: readonly RunShape[] = vary('claims', [
  { claimsPerSecond: 20 },
  { claimsPerSecond: 80 },
  { claimsPerSecond: 160 },
  { claimsPerSecond: 240 },
]);
