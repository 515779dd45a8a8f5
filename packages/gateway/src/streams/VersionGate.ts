import type { ServiceVersions } from './Types.js';

/** Time for which replicas of a version that is not announced begin no streams, milliseconds. */
const longestHoldMs = 1_000;

/**
 * Decides at which software versions streams may begin. The leader stores a new version before it announces it, so that
 * the stored versions prove where streams began. A leader that cannot store it must not keep its replicas out of use.
 */
export class VersionGate {
  private _announced: ServiceVersions | undefined;
  /** When a version that is not announced was first asked for, by service and version, steady milliseconds. */
  private readonly _heldSinceMs = new Map<string, number>();

  /** Applies the versions that the leader announces. */
  public announce(versions: ServiceVersions): void {
    this._announced = versions;
    this._heldSinceMs.clear();
  }

  /** True if a stream may begin at a version of a service. */
  public mayBegin(service: string, version: string, nowMs: number): boolean {
    const announced = this._announced?.[service];
    if (announced === undefined || announced.includes(version)) {
      return true;
    }
    const key = JSON.stringify([service, version]);
    const sinceMs = this._heldSinceMs.get(key) ?? nowMs;
    this._heldSinceMs.set(key, sinceMs);
    return nowMs - sinceMs >= longestHoldMs;
  }
}
