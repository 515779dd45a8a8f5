/** Time after an outage of the store within which the expired records are written again, milliseconds (approximate). */
const expiredRecordRewriteMs = 2_300;
/**
 * Longest grace period, milliseconds. A leaving replica may get requests for 2 s after its record is removed, and the
 * read of the removal takes part of that time.
 */
const maximumGraceMs = 1_600;

/**
 * How long a replica stays in use after the removal of its record was read, milliseconds. During an outage of the
 * store, records of live replicas expire; these replicas stay in use until their records should have been written
 * again. A failed read of this daemon alone cannot be distinguished from an outage, so the grace period never exceeds
 * the time for which a replica that really leaves may still get requests.
 */
export function removalGraceMs(lastFailureMs: number, nowMs: number): number {
  const untilRewrittenMs = lastFailureMs + expiredRecordRewriteMs - nowMs;
  return Math.min(Math.max(untilRewrittenMs, 0), maximumGraceMs);
}
