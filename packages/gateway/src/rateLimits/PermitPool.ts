import type { Instant } from '../Types.js';
import { permitLifetimeMs } from './permitRates.js';

/** Units that one answer of the leader granted. */
interface Grant {
  /** Time of the report or request that the grant answers. */
  readonly reportedAt: Instant;
  readonly units: number;
}

/** The permits that the leader has granted to this daemon, by the key of the limit. */
export class PermitPool {
  /** Grants that are neither used up nor expired, oldest first. */
  private readonly _grants = new Map<string, readonly Grant[]>();

  /** `_lifetimeMs` is the time for which a permit is valid after the report that it answers, milliseconds. */
  public constructor(private readonly _lifetimeMs = permitLifetimeMs) {}

  /** Adds permits that answer a report of the given time. */
  public add(key: string, units: number, reportedAt: Instant): void {
    if (units > 0) {
      this._grants.set(key, [...(this._grants.get(key) ?? []), { reportedAt, units }]);
    }
  }

  /** Units of the valid permits for a limit. */
  public available(key: string, now: Instant): number {
    const grants = this._grants.get(key);
    if (grants === undefined) {
      return 0;
    }
    const valid = grants.filter(({ reportedAt }) => isPermitValid(reportedAt, this._lifetimeMs, now));
    if (valid.length === 0) {
      this._grants.delete(key);
    } else if (valid.length < grants.length) {
      this._grants.set(key, valid);
    }
    return valid.reduce((sum, { units }) => sum + units, 0);
  }

  /** Uses the oldest valid permits; false if there are not enough. */
  public tryTake(key: string, now: Instant, units = 1): boolean {
    if (this.available(key, now) < units) {
      return false;
    }
    let missing = units;
    const left = (this._grants.get(key) ?? []).flatMap((grant): Grant[] => {
      const taken = Math.min(grant.units, missing);
      missing -= taken;
      return taken < grant.units ? [{ ...grant, units: grant.units - taken }] : [];
    });
    this._grants.set(key, left);
    return true;
  }
}

/** Checks both clocks: the steady clock stops while the VM is suspended, and the wall clock may be set. */
export function isPermitValid(reportedAt: Instant, lifetimeMs: number, now: Instant): boolean {
  const wallAgeMs = now.wallMs - reportedAt.wallMs;
  return now.steadyMs - reportedAt.steadyMs < lifetimeMs && wallAgeMs >= 0 && wallAgeMs < lifetimeMs;
}
