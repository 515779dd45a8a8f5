import type { Instant } from '../Types.js';
import { permitLifetimeMs } from './permitRates.js';

/** The permits that the leader has granted to this daemon, by replica. Each allows one request. */
export class PermitPool {
  /** Times of the reports that the permits answer, oldest first. */
  private readonly _reportedAt = new Map<string, readonly Instant[]>();

  /** Adds permits that answer a report of the given time. */
  public add(replicaId: string, count: number, reportedAt: Instant): void {
    if (count === 0) {
      return;
    }
    const added = Array.from({ length: count }, () => reportedAt);
    this._reportedAt.set(replicaId, [...(this._reportedAt.get(replicaId) ?? []), ...added]);
  }

  /** Number of valid permits for a replica. */
  public available(replicaId: string, now: Instant): number {
    const permits = this._reportedAt.get(replicaId);
    if (permits === undefined) {
      return 0;
    }
    const valid = permits.filter((reportedAt) => isValid(reportedAt, now));
    if (valid.length === 0) {
      this._reportedAt.delete(replicaId);
    } else if (valid.length < permits.length) {
      this._reportedAt.set(replicaId, valid);
    }
    return valid.length;
  }

  /** Uses the oldest valid permit; false if there is none. */
  public tryTake(replicaId: string, now: Instant): boolean {
    if (this.available(replicaId, now) === 0) {
      return false;
    }
    this._reportedAt.set(replicaId, this._reportedAt.get(replicaId)?.slice(1) ?? []);
    return true;
  }
}

/** Checks both clocks: the steady clock stops while the VM is suspended, and the wall clock may be set. */
function isValid(reportedAt: Instant, now: Instant): boolean {
  const wallAgeMs = now.wallMs - reportedAt.wallMs;
  return now.steadyMs - reportedAt.steadyMs < permitLifetimeMs && wallAgeMs >= 0 && wallAgeMs < permitLifetimeMs;
}
