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
  /** Share of the requests that crash; they arrive from the second second on. */
  readonly crashingShare: number;
  /** What crashes: requests with a prompt part, no two alike, or one request that comes again. */
  readonly crashingKind: 'part' | 'request';
  /** Share of the sound requests that are among a few popular ones, which come again with the same content. */
  readonly popularShare: number;
  readonly callerCount: number;
  readonly durationMs: number;
  readonly faults: CrashFaults;
  /** Random numbers from 0 to below 1. */
  readonly random: () => number;
}

/** What happened in a simulation. Times are in milliseconds from its start. */
export interface CrashSimulationResult {
  /** Crashes by the crashing part or request. */
  readonly crashesMs: readonly number[];
  readonly otherCrashes: number;
  /** Arrivals of the crashing part or request at replicas. */
  readonly crashingArrivalsMs: readonly number[];
  readonly soundRequests: readonly SoundRequest[];
  /** Blocks without the crashing part or request. */
  readonly wrongBlocks: readonly (readonly string[])[];
}

export interface SoundRequest {
  readonly atMs: number;
  readonly outcome: 'answered' | 'broken' | 'refused' | 'noReplica';
}
