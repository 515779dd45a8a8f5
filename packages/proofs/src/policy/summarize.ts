/** Summarizes replays as ratios to the reference variant on the same arrivals. */
import type { ReplayResult } from './replayWorker.js';
import type { PartnerSpecification, PolicyMeasures } from './Types.js';
import { referenceName, type VariantFamily } from './variants.js';

/** Mean, lowest and highest value over all seeds. */
export interface Spread {
  readonly mean: number;
  readonly lowest: number;
  readonly highest: number;
}

/** The measures of a variant that are compared. */
export const comparedMeasures = {
  allP95: (measures: PolicyMeasures) => measures.all.p95Ms,
  allP99: (measures: PolicyMeasures) => measures.all.p99Ms,
  coldP95: (measures: PolicyMeasures) => measures.cold.p95Ms,
  coldP99: (measures: PolicyMeasures) => measures.cold.p99Ms,
  idleHours: (measures: PolicyMeasures) => measures.idleAcceleratorHours,
} as const;

export type ComparedMeasure = keyof typeof comparedMeasures;

/** Summary of one variant for one partner. */
export interface VariantSummary {
  readonly name: string;
  readonly family: VariantFamily;
  readonly refusedShare: Spread;
  readonly coldShare: Spread;
  readonly loads: Spread;
  /** Values, milliseconds or hours. */
  readonly values: Readonly<Record<ComparedMeasure, Spread>>;
  /** Ratios to the reference on the same seed. */
  readonly ratios: Readonly<Record<ComparedMeasure, Spread>>;
  /** Mean of the ratios of both percentiles over all requests, weighted with the ratio of idle hours. */
  readonly score: Spread;
}

/** Summarizes all variants of one partner, in the order in which they are compared. */
export function summarizePartner(
  specification: PartnerSpecification,
  results: readonly ReplayResult[],
): readonly VariantSummary[] {
  const own = results.filter((result) => result.partner === specification.partner);
  const reference = new Map(
    own.filter((result) => result.variant.name === referenceName).map((result) => [result.seed, result.measures]),
  );
  const names = [...new Set(own.map((result) => result.variant.name))];
  return names.map((name) => {
    const runs = own.filter((result) => result.variant.name === name);
    return summarizeVariant(specification.coldStartWeight, runs, reference);
  });
}

/** Mean of the ratios of the 95th and 99th percentile over all requests. */
export function tailRatio(summary: VariantSummary): number {
  return (summary.ratios.allP95.mean + summary.ratios.allP99.mean) / 2;
}

function summarizeVariant(
  weight: number,
  runs: readonly ReplayResult[],
  reference: ReadonlyMap<number, PolicyMeasures>,
): VariantSummary {
  const ratioOf = (run: ReplayResult, measure: ComparedMeasure): number => {
    const base = reference.get(run.seed);
    return base === undefined ? NaN : comparedMeasures[measure](run.measures) / comparedMeasures[measure](base);
  };
  const scoreOf = (run: ReplayResult): number =>
    (weight * (ratioOf(run, 'allP95') + ratioOf(run, 'allP99'))) / 2 + (1 - weight) * ratioOf(run, 'idleHours');
  const variant = runs[0]?.variant;
  return {
    name: variant?.name ?? '',
    family: variant?.family ?? 'fixed',
    refusedShare: spreadOf(runs.map((run) => run.measures.refusedShare)),
    coldShare: spreadOf(runs.map((run) => run.measures.coldRequests / run.measures.requests)),
    loads: spreadOf(runs.map((run) => run.measures.loads)),
    values: eachMeasure((measure) => spreadOf(runs.map((run) => comparedMeasures[measure](run.measures)))),
    ratios: eachMeasure((measure) => spreadOf(runs.map((run) => ratioOf(run, measure)))),
    score: spreadOf(runs.map(scoreOf)),
  };
}

function eachMeasure(compute: (measure: ComparedMeasure) => Spread): Record<ComparedMeasure, Spread> {
  return {
    allP95: compute('allP95'),
    allP99: compute('allP99'),
    coldP95: compute('coldP95'),
    coldP99: compute('coldP99'),
    idleHours: compute('idleHours'),
  };
}

function spreadOf(values: readonly number[]): Spread {
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return { mean, lowest: Math.min(...values), highest: Math.max(...values) };
}
