/** Worker thread that runs the replays it receives as messages. */
import { parentPort } from 'node:worker_threads';
import { buildWorkload } from './buildWorkload.js';
import { cascade, solano } from './partners.js';
import type { PolicyMeasures } from './Types.js';
import { policyOf, type Variant } from './variants.js';
import { VirtualDay } from './VirtualDay.js';

/** A replay to run. */
export interface ReplayJob {
  readonly partner: string;
  readonly seed: number;
  readonly variant: Variant;
}

/** A finished replay. */
export interface ReplayResult extends ReplayJob {
  readonly measures: PolicyMeasures;
}

/** Runs one replay. */
export function runReplay(job: ReplayJob): ReplayResult {
  const specification = job.partner === solano.partner ? solano : cascade;
  const workload = buildWorkload(specification, job.seed);
  const policy = policyOf(job.variant, specification);
  return { ...job, measures: VirtualDay.run(workload, policy, job.variant.keepAliveSeconds) };
}

parentPort?.on('message', (job: ReplayJob) => {
  parentPort?.postMessage(runReplay(job));
});
