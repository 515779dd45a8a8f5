import type { Instant } from '../Types.js';

/** Times of the lease, milliseconds. */
export interface LeaseTimes {
  /** A renewal is valid for this long, counted from before it was sent. */
  readonly validityMs: number;
  readonly renewMs: number;
  /** Least time between the last order of a holder on one VM and the first of the next on another VM. */
  readonly handoverMs: number;
  /** A holder that released the lease at its stop may take it back for this long after its restart. */
  readonly reclaimMs: number;
}

/** A record of the lease. */
export interface LeaseRecord {
  /** Name of the VM that holds the lease. */
  readonly holder: string;
  /** Address at which the holder accepts peers, `ip:port`. */
  readonly peerAddress: string;
  /** Fencing token: offset that the holder's first record of this term was to get. */
  readonly term: number;
  /** Time of day from which the holder may send orders, so that a restart keeps to the handover. */
  readonly ordersFromWallMs: number;
  readonly released: boolean;
}

/** A record with its offset and when this daemon first saw it. */
export interface ObservedLease {
  readonly offset: number;
  readonly record: LeaseRecord;
  readonly observedAt: Instant;
}

/** Time that has passed on the clock that counted more, so that a suspension of the VM is noticed. */
export function elapsedMs(since: Instant, now: Instant): number {
  return Math.max(now.steadyMs - since.steadyMs, now.wallMs - since.wallMs);
}

/** True while a renewal that was sent at `renewedAt` is certainly valid. A wall clock that went back is no proof. */
export function isLeaseValid(renewedAt: Instant, now: Instant, times: LeaseTimes): boolean {
  const wallElapsedMs = now.wallMs - renewedAt.wallMs;
  return wallElapsedMs >= 0 && elapsedMs(renewedAt, now) < times.validityMs;
}

/** Longest wait by which a VM with little processor time leaves the lead to others, milliseconds. */
const maximumTakeoverBackoffMs = 800;

/**
 * Time that a VM waits before it takes a free lease, milliseconds. The leader hears all daemons, so VMs with more
 * processor time go first. `processorShare` is in seconds a second.
 */
export function takeoverBackoffMs(processorShare: number): number {
  return Math.max(1 - processorShare, 0) * maximumTakeoverBackoffMs;
}

/** Time to wait before the lease may be taken over; 0 if it may be taken now. */
export function takeoverDelayMs(
  observed: ObservedLease | undefined,
  self: string,
  now: Instant,
  times: LeaseTimes,
): number {
  if (observed === undefined || observed.record.holder === self) {
    return 0;
  }
  // The steady clock decides: a wall clock that jumps ahead must not end another VM's lease early.
  const limitMs = observed.record.released ? times.reclaimMs : times.validityMs;
  return Math.max(0, limitMs - (now.steadyMs - observed.observedAt.steadyMs));
}

/**
 * Time from the takeover until the new holder may send orders. Another VM waits, because the former holder may have
 * sent orders until its validity ended. A holder that takes its own lease over keeps to the wait that it had.
 */
export function firstOrderDelayMs(
  former: ObservedLease | undefined,
  self: string,
  now: Instant,
  times: LeaseTimes,
): number {
  if (former === undefined) {
    return 0;
  }
  if (former.record.holder !== self) {
    // After a release there are no more orders; without one there may be some until the validity ends.
    const sinceLastOrderMs = former.record.released ? now.steadyMs - former.observedAt.steadyMs : 0;
    return Math.max(times.handoverMs - sinceLastOrderMs, 0);
  }
  return Math.min(Math.max(former.record.ordersFromWallMs - now.wallMs, 0), times.handoverMs);
}

/** Encodes a record of the lease. */
export function encodeLease(record: LeaseRecord): string {
  return JSON.stringify(record);
}

/** Decodes a record of the lease; undefined if the text is none. */
export function decodeLease(text: string): LeaseRecord | undefined {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // Not JSON: the caller logs that the record is unreadable.
    return undefined;
  }
  const record = value as Partial<LeaseRecord> | null;
  const isRecord =
    typeof record?.holder === 'string' &&
    typeof record.peerAddress === 'string' &&
    typeof record.term === 'number' &&
    typeof record.ordersFromWallMs === 'number' &&
    typeof record.released === 'boolean';
  return isRecord ? (record as LeaseRecord) : undefined;
}
