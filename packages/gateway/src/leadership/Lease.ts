import type { TablePosition } from '../contracts/MetadataStore.js';
import type { Instant } from '../Types.js';

/** Timing of the lease, milliseconds. */
export interface LeaseTimes {
  /** A renewal is valid for this long, counted from before it was sent. */
  readonly validityMs: number;
  readonly renewMs: number;
  /** Least time between the last order of a holder on one VM and the first order of the next holder on another VM. */
  readonly handoverMs: number;
  /** Time after a release within which only the former holder, restarted, may take the lease. */
  readonly reclaimMs: number;
}

/** A record of the lease. */
export interface LeaseRecord {
  /** Name of the VM that holds the lease. */
  readonly holder: string;
  /** Address at which the holder accepts peers, `ip:port`. */
  readonly peerAddress: string;
  /** Fencing token, from the expected position of the holder's first record of this term. */
  readonly term: number;
  /** Time of day from which the holder may send orders. It is stored so that a restart respects the handover time. */
  readonly ordersFromWallMs: number;
  readonly released: boolean;
  /** Era of the store in which the record was written. */
  readonly era: number;
}

/** The stored lease, with its position and the time at which this daemon first read it. */
export interface ObservedLease {
  readonly position: TablePosition;
  /** Absent if the store has no readable record, although there was one. */
  readonly record?: LeaseRecord;
  readonly observedAt: Instant;
}

/** Distance of the fencing tokens of two eras. A topic has fewer records within an era. */
const tokensPerEra = 2 ** 32;

/** Fencing token of a term whose first record is expected at a position. It rises also when offsets are given out again. */
export function fencingToken({ era, offset }: TablePosition): number {
  return era * tokensPerEra + offset;
}

/**
 * True if another VM may hold the lease although the store does not show it: a store that was restored has lost the latest
 * writes, so a record of an earlier era only says who held the lease when the copy was taken.
 */
export function isHolderUncertain({ position, record }: ObservedLease): boolean {
  return record?.era !== position.era;
}

/** Elapsed time on the clock that advanced more, so that a suspension of the VM is detected. */
export function elapsedMs(since: Instant, now: Instant): number {
  return Math.max(now.steadyMs - since.steadyMs, now.wallMs - since.wallMs);
}

/** True while a renewal sent at `renewedAt` is certainly valid. If the wall clock stepped back, this is not certain. */
export function isLeaseValid(renewedAt: Instant, now: Instant, times: LeaseTimes): boolean {
  const wallElapsedMs = now.wallMs - renewedAt.wallMs;
  return wallElapsedMs >= 0 && elapsedMs(renewedAt, now) < times.validityMs;
}

/** Longest backoff that gives VMs with more processor time precedence in a takeover, milliseconds. */
const maximumTakeoverBackoffMs = 800;

/**
 * Time that a VM waits before it takes a free lease, milliseconds. The leader processes messages from all daemons, so
 * VMs with more processor time take precedence. `processorShare` is in processor seconds per second.
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
  if (observed === undefined) {
    return 0;
  }
  const isUncertain = isHolderUncertain(observed);
  if (!isUncertain && observed.record?.holder === self) {
    return 0;
  }
  // Only the steady clock counts: a wall clock that jumps ahead must not end another VM's lease early.
  const limitMs = !isUncertain && observed.record?.released === true ? times.reclaimMs : times.validityMs;
  return Math.max(0, limitMs - (now.steadyMs - observed.observedAt.steadyMs));
}

/**
 * Time from the takeover until the new holder may send orders. A holder on another VM waits, because the former holder
 * may have sent orders until its lease expired. A holder that takes over its own lease keeps the time already set.
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
  if (former.record === undefined || isHolderUncertain(former)) {
    return times.handoverMs;
  }
  if (former.record.holder !== self) {
    // A release ends the orders; without one, the former holder may send orders until its lease expires.
    const sinceLastOrderMs = former.record.released ? now.steadyMs - former.observedAt.steadyMs : 0;
    return Math.max(times.handoverMs - sinceLastOrderMs, 0);
  }
  return Math.min(Math.max(former.record.ordersFromWallMs - now.wallMs, 0), times.handoverMs);
}

/** Encodes a lease record. */
export function encodeLease(record: LeaseRecord): string {
  return JSON.stringify(record);
}

/** Era of a record that an earlier version wrote. No store is in it, so the holder is uncertain. */
const unstatedEra = -1;

/** Decodes a lease record; undefined if the text is not one. */
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
  return isRecord ? { ...(record as LeaseRecord), era: record.era ?? unstatedEra } : undefined;
}
