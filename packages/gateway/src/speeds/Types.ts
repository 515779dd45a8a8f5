/** Event gaps of the streams of one model that a daemon has received from one replica since its last report. */
export interface SpeedReport {
  readonly replicaId: string;
  readonly model: string;
  readonly streams: number;
  /** Mean time between two events of these streams, milliseconds. */
  readonly eventGapMs: number;
}

/** How much longer work takes on replicas than in the mean of their service, by replica id; 1 is the mean. */
export type SlownessByReplica = Readonly<Record<string, number>>;
