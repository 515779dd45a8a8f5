/** Fault of one direction. A dropped direction holds its bytes back, as TCP does until a path heals. */
export interface DirectionFault {
  readonly drop: boolean;
  /** Added latency; does not limit the throughput, milliseconds. */
  readonly delayMs: number;
}
