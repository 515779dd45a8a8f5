/** Why memory or a connection is taken from a client. */
export type ReleaseReason = 'stalled' | 'tooLarge';

/** Something that holds memory for one client: a body that is received, or a connection. */
export interface MemoryHolder {
  readonly heldBytes: number;
  /** False while a request is served that may run at a replica and whose caller reads its response. */
  readonly isReleasable: boolean;
  /** Time since the client last made progress, milliseconds; 0 while the daemon itself makes it wait. */
  stalledMs(nowMs: number): number;
  /** Gives the memory back, by refusing the request or closing the connection. */
  release(reason: ReleaseReason): void;
}
