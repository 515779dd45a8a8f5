/** Fits lines to the measured series, by role. */
import { fitLine, type FittedLine, type Point } from './fitLine.js';
import type { DaemonSample, RunResult, RunShape } from './Types.js';

const roles = {
  plain: (sample) => !sample.owner && !sample.watcher,
  watcher: (sample) => sample.watcher && !sample.owner,
  owner: (sample) => sample.owner,
} satisfies Readonly<Record<string, (sample: DaemonSample) => boolean>>;

const figures = {
  core: (sample) => sample.core,
  residentBytes: (sample) => sample.residentBytes,
  heapBytes: (sample) => sample.heapBytes,
  peerBytesPerSecond: (sample) => sample.bytesPerSecond.peers,
  logBytesPerSecond: (sample) => sample.bytesPerSecond.log,
  vmListBytesPerSecond: (sample) => sample.bytesPerSecond.vmList,
  targetBytesPerSecond: (sample) => sample.bytesPerSecond.targets,
} satisfies Readonly<Record<string, (sample: DaemonSample) => number>>;

type Role = keyof typeof roles;
type Figure = keyof typeof figures;

/** A fitted line of one figure against one variable. */
export interface SeriesFit {
  readonly series: string;
  readonly variable: string;
  readonly role: Role | 'any';
  readonly figure: Figure | 'logAppendsPerSecond' | 'logRecordsPerSecond';
  readonly line: FittedLine;
}

const variables: readonly (readonly [series: string, variable: keyof RunShape])[] = [
  ['daemons', 'daemons'],
  ['targets', 'targets'],
  ['models', 'models'],
  ['edits', 'editsPerMinute'],
  ['requests', 'requestsPerSecond'],
  ['digestTargets', 'targets'],
  ['digestDaemons', 'daemons'],
  ['claims', 'claimsPerSecond'],
  ['tokens', 'tokensPerRequest'],
];

/** Fits every figure of every role against the variable that each series changes. */
export function fitSeries(results: readonly RunResult[]): readonly SeriesFit[] {
  return variables.flatMap(([series, variable]) => {
    const runs = results.filter(({ shape }) => shape.series === series);
    return [...daemonFits(series, variable, runs), ...logFits(series, variable, runs)];
  });
}

/** Fits the figures of a plain daemon against the number of targets that it polls, over all idle runs. */
export function fitCollectors(results: readonly RunResult[]): readonly SeriesFit[] {
  const idle = results.filter(({ shape }) => ['daemons', 'targets'].includes(shape.series));
  const samples = idle.flatMap((run) => run.daemons.filter(roles.plain));
  return (Object.keys(figures) as Figure[]).flatMap((figure) =>
    fitOf(
      'collector',
      'collectedTargets',
      'plain',
      figure,
      samples.map((sample) => ({ x: sample.targets, y: figures[figure](sample) })),
    ),
  );
}

function daemonFits(series: string, variable: keyof RunShape, runs: readonly RunResult[]): SeriesFit[] {
  return (Object.keys(roles) as Role[]).flatMap((role) =>
    (Object.keys(figures) as Figure[]).flatMap((figure) => {
      const points = runs.flatMap((run) =>
        run.daemons
          .filter(roles[role])
          .map((sample) => ({ x: Number(run.shape[variable]), y: figures[figure](sample) })),
      );
      return fitOf(series, variable, role, figure, points);
    }),
  );
}

function logFits(series: string, variable: keyof RunShape, runs: readonly RunResult[]): SeriesFit[] {
  return (['logAppendsPerSecond', 'logRecordsPerSecond'] as const).flatMap((figure) => {
    const points = runs.map((run) => ({ x: Number(run.shape[variable]), y: run[figure] }));
    return fitOf(series, variable, 'any', figure, points);
  });
}

function fitOf(
  series: string,
  variable: string,
  role: SeriesFit['role'],
  figure: SeriesFit['figure'],
  points: readonly Point[],
): SeriesFit[] {
  const line = fitLine(points);
  return line ? [{ series, variable, role, figure, line }] : [];
}
