import { expiredRecordRewriteMs, type OutageTimes } from './StoreOutage.js';

/**
 * Longest grace period, milliseconds. A leaving replica may get requests for 2 s after its record is removed, and the
 * read of the removal takes part of that time.
 */
const maximumGraceMs = 1_600;
/** What the grace period of a removed replica depends on, times in milliseconds. */
export interface RemovalInput {
  readonly outage: OutageTimes;
  /** When peers read the store without delay while this daemon did not reach it, steady milliseconds, in order. */
  readonly peerReadsMs?: readonly number[];
  /** Time between two liveness reports of a replica. */
  readonly livenessMs: number;
  /** When this daemon learned that the store was restored from a copy, if the copy lacks the record. */
  readonly restoredMs?: number | undefined;
}

/** Missed liveness reports after which the platform removes a record. */
const missedReportLimit = 3;
/** Time for the removal itself and its read, milliseconds. */
const removalLagMs = 1_000;

/**
 * How long a replica stays in use after the removal of its record was read, milliseconds. During an outage of the
 * store, records of live replicas expire; these replicas stay in use until their records should have been written
 * again. Failed reads of this daemon alone cannot be distinguished from an outage, so the grace period never exceeds
 * the time for which a replica that really leaves may still get requests. There is none after an outage in which no
 * record can have expired, such as a read on a connection that went silent, nor if peers have read the store meanwhile.
 * If the copy of a restored store lacks the record, nothing says that the replica leaves, so it stays in use until its
 * record should have been written again.
 */
export function removalGraceMs(input: RemovalInput, nowMs: number): number {
  const { outage, restoredMs = Number.NEGATIVE_INFINITY } = input;
  const recoveryMs = Math.min(outage.endedMs, nowMs) + expiredRecordRewriteMs - nowMs;
  const afterOutageMs = canHaveExpired(input, nowMs) ? Math.min(recoveryMs, maximumGraceMs) : 0;
  const afterRestoreMs = restoredMs + expiredRecordRewriteMs - nowMs;
  return Math.max(afterOutageMs, afterRestoreMs, 0);
}

/** True if the store may have been out of reach of all daemons for so long that records that expired are still missing. */
function canHaveExpired({ outage, peerReadsMs = [], livenessMs }: RemovalInput, nowMs: number): boolean {
  const expiryMs = (missedReportLimit - 1) * livenessMs;
  const fromMs = Math.max(outage.startedMs, nowMs - expiredRecordRewriteMs - expiryMs);
  return longestGapMs(peerReadsMs, fromMs, Math.min(outage.endedMs, nowMs)) >= expiryMs;
}

/** The longest time without a read between two times, milliseconds. */
function longestGapMs(readsMs: readonly number[], fromMs: number, toMs: number): number {
  const times = [fromMs, ...readsMs.filter((readMs) => readMs > fromMs && readMs < toMs), toMs];
  return Math.max(...times.slice(1).map((timeMs, index) => timeMs - (times[index] ?? fromMs)));
}

/**
 * How long a replica that has left stays out of use when a copy of the store returns its record, milliseconds. If no such
 * replica is alive, the platform removes the record within this time. `livenessMs` is the time between two liveness
 * reports of a replica.
 */
export function returnDelayMs(livenessMs: number): number {
  return missedReportLimit * livenessMs + removalLagMs;
}
