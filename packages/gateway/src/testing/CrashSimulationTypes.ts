/** Crashes of other causes, as probabilities per second, and other disturbances. */
export interface CrashFaults {
  /** A replica ends. */
  readonly singleCrash: number;
  /** A third of the replicas ends at once. */
  readonly massCrash: number;
  /** Share of the replicas that go down every four seconds. */
  readonly flappingShare: number;
  readonly leaderLoss: number;
  /** A daemon restarts and knows nothing. */
  readonly daemonRestart: number;
}

export interface CrashSimulationOptions {
  readonly daemonCount: number;
  readonly replicaCount: number;
  readonly requestsPerSecond: number;
  /** Share of the requests with the crashing part; they arrive from the second second on. */
  readonly crashingShare: number;
  readonly callerCount: number;
  readonly durationMs: number;
  readonly faults: CrashFaults;
  /** Random numbers from 0 to below 1. */
  readonly random: () => number;
}

/** What happened in a simulation. Times are in milliseconds from its start. */
export interface CrashSimulationResult {
  /** Crashes by the crashing part. */
  readonly crashesMs: readonly number[];
  readonly otherCrashes: number;
  /** Arrivals of the crashing part at replicas. */
  readonly crashingArrivalsMs: readonly number[];
  readonly soundRequests: readonly SoundRequest[];
  /** Blocks without the crashing part. */
  readonly wrongBlocks: readonly (readonly string[])[];
}

export interface SoundRequest {
  readonly atMs: number;
  readonly outcome: 'answered' | 'broken' | 'refused' | 'noReplica';
}
