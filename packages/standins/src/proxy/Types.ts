/** Fault of one direction. Bytes of a dropped direction are held back, as with TCP until a network path recovers. */
export interface DirectionFault {
  readonly drop: boolean;
  /** Added latency, milliseconds. Does not limit the throughput. */
  readonly delayMs: number;
}
