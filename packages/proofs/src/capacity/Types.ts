/** Sizes and rates of a run. */
export interface RunShape {
  readonly series: string;
  readonly daemons: number;
  readonly targets: number;
  /** Models in the configuration. */
  readonly models: number;
  /** Models that are loaded and receive requests. */
  readonly loadedModels: number;
  readonly requestsPerSecond: number;
  readonly editsPerMinute: number;
  /** Calls per second with an idempotency key. */
  readonly claimsPerSecond: number;
  readonly tokensPerRequest: number;
  /** Time between the tokens of an engine, milliseconds. */
  readonly tokenMs: number;
}

/** Bytes per second that a daemon sends and receives, HTTP headers included. */
export interface ByteRates {
  readonly peers: number;
  readonly log: number;
  readonly vmList: number;
  /** Load polls; under load also the forwarded requests. */
  readonly targets: number;
}

/** Measurements of one daemon in one run. */
export interface DaemonSample {
  readonly name: string;
  readonly owner: boolean;
  readonly watcher: boolean;
  /** Targets with which the daemon exchanged bytes; in an idle system those that it polls as their collector. */
  readonly targets: number;
  /** Share of one core, 0 to 1. */
  readonly core: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly bytesPerSecond: ByteRates;
}

/** One measured run. */
export interface RunResult {
  readonly shape: RunShape;
  readonly windowSeconds: number;
  readonly daemons: readonly DaemonSample[];
  readonly logAppendsPerSecond: number;
  readonly logRecordsPerSecond: number;
  readonly logAppendBytesPerSecond: number;
  /** Share of one core that the log stand-in used. */
  readonly logServiceCore: number;
  /** Share of one core that the benchmark process used, including the engines and the load generator. */
  readonly benchmarkCore: number;
  readonly completedPerSecond: number;
  readonly failed: number;
  /** Time to answer an edit or claimed call, milliseconds: median and largest. */
  readonly answerMs: { readonly median: number; readonly largest: number } | null;
}
