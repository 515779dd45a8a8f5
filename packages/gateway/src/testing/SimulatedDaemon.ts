import { CrashGuard } from '../crashes/CrashGuard.js';
import type { CrashReport } from '../crashes/Types.js';

/** A request of a caller that waits at a daemon or runs on a replica; times in milliseconds. */
export interface SimulatedRequest {
  readonly daemon: SimulatedDaemon;
  readonly parts: readonly string[];
  readonly atMs: number;
  trialParts?: readonly string[];
}

/** A replica, which is down until `upFromMs`. */
export interface SimulatedReplica {
  readonly id: string;
  bornMs: number;
  upFromMs: number;
  readonly requests: Set<SimulatedRequest>;
}

/** A daemon with its crash guard, and the reports that wait for the next leader. */
export class SimulatedDaemon {
  public guard = new CrashGuard();
  public readonly waiting = new Set<SimulatedRequest>();
  public reports: { readonly report: CrashReport; readonly atMs: number }[] = [];
}
