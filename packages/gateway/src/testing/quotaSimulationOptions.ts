import type { TenantQuota } from '../Types.js';

/** Disturbances of a simulation, as probabilities per second. */
export interface QuotaFaults {
  readonly leaderLoss: number;
  /** A daemon is suspended for up to 3 s: its steady clock stops and its messages are delivered afterwards. */
  readonly suspension: number;
  /** A daemon is cut off from the leader for up to 6 s. */
  readonly cut: number;
  /** A random share of all daemons is cut off from the leader for up to 6 s. */
  readonly partition: number;
  /** A daemon restarts. */
  readonly restart: number;
  /** All daemons are killed and started again. */
  readonly killAll: number;
  /** A message takes up to 900 ms instead of up to 10 ms. */
  readonly delayedShare: number;
  /** A message arrives a second time, up to 2 s later. */
  readonly repeatedShare: number;
}

export const noQuotaFaults: QuotaFaults = {
  leaderLoss: 0,
  suspension: 0,
  cut: 0,
  partition: 0,
  restart: 0,
  killAll: 0,
  delayedShare: 0,
  repeatedShare: 0,
};

export interface QuotaSimulationOptions {
  readonly daemonCount: number;
  readonly quota: (nowMs: number) => TenantQuota;
  /** Units that callers ask for, a second over all daemons. */
  readonly demandPerSecond: (nowMs: number) => number;
  /** Mean units of a request. Requests have from 0.3 to 1.7 times as many; those of one unit all have one. */
  readonly meanUnits: number;
  /** Time that callers wait for a response, milliseconds. */
  readonly deadlineMs: number;
  readonly durationMs: number;
  /** Share of the requests that arrive at the first daemon. */
  readonly firstShare?: number;
  readonly faults: QuotaFaults;
  /** Random numbers from 0 to below 1. */
  readonly random: () => number;
}
