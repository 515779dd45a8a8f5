import type * as common from '@jayhaven/common';

/** One request of the replayed workload. Times are virtual milliseconds since the start of the day. */
export interface Arrival {
  readonly atMs: number;
  readonly model: string;
  readonly adapter?: string;
  readonly urgency: common.Urgency;
  /** Time from the start of the answer to its end. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
}

/** Distribution over time of the requests for a model. */
export type ArrivalPattern = 'popular' | 'sessions' | 'regular' | 'rare' | 'once';

/** A configured model of a workload. */
export interface ModelSpecification {
  readonly model: string;
  readonly pattern: ArrivalPattern;
  readonly weightBytes: readonly number[];
  readonly cacheBytes: number;
  readonly adapters: readonly string[];
}

/** An engine with its accelerators. */
export interface EngineSpecification {
  readonly address: string;
  readonly vm: string;
  readonly failureDomain: string;
  readonly acceleratorBytes: readonly number[];
}

/** Fixed properties of a partner's workload; the rest is generated from the seed. */
export interface PartnerSpecification {
  readonly partner: common.PartnerName;
  readonly models: Readonly<Record<ArrivalPattern, number>>;
  readonly adapters: number;
  /** Accelerators per engine. */
  readonly engines: readonly number[];
  readonly failureDomains: number;
  /** Limits of loads per second of the owner and of the weight store. */
  readonly ownerLoadsPerSecond: number;
  readonly storeLoadsPerSecond: number;
  /** Relative request rate for each hour of the day. */
  readonly hourlyRates: readonly number[];
  /** Share of sessions whose requests are batch work. */
  readonly batchShare: number;
  /** Weight of tail cold-start time; the weight of idle accelerator hours is 1 minus this. */
  readonly coldStartWeight: number;
}

/** One seeded day of one partner. */
export interface Workload {
  readonly specification: PartnerSpecification;
  readonly seed: number;
  readonly models: readonly ModelSpecification[];
  readonly engines: readonly EngineSpecification[];
  readonly arrivals: readonly Arrival[];
}

/** Percentiles of a list of times, milliseconds. */
export interface Percentiles {
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Source from which a target reads a checkpoint: its own memory or disk, or the weight store. */
export type CheckpointTier = 'memory' | 'disk' | 'remote';

/** Measures of one policy on one workload. */
export interface PolicyMeasures {
  readonly requests: number;
  readonly coldRequests: number;
  readonly refused: number;
  readonly refusedShare: number;
  /** Cold-start time over all requests; a refused one counts with its deadline. */
  readonly all: Percentiles;
  /** The same over the requests that found no ready replica. */
  readonly cold: Percentiles;
  /** Over served requests only. */
  readonly served: Percentiles;
  /** Mean over all requests; a refused one counts with its deadline. */
  readonly meanMs: number;
  /** Memory of loaded models without requests in flight, in units of one accelerator's memory, times hours. */
  readonly idleAcceleratorHours: number;
  readonly loads: number;
  readonly unloads: number;
  /** Loads by the tier that held the checkpoint. */
  readonly tiers: Readonly<Record<CheckpointTier, number>>;
  /** Number of decisions and refusals by rule. */
  readonly rules: Readonly<Record<string, number>>;
  /** Records that replay rejected. */
  readonly rejectedRecords: number;
  /** Highest share of any accelerator's memory in use, as counted by the engines. */
  readonly highestMemoryShare: number;
}
