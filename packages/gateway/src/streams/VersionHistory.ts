import type { Replica } from '../Types.js';
import type { ServiceVersions } from './Types.js';

/**
 * The software versions at which a stream may have begun that its caller can still take up, by service: those of the
 * present replicas, and those that were present within the lifetime of streams.
 */
export class VersionHistory {
  /** When a replica of a version was last seen, by service and version, steady milliseconds. */
  private readonly _lastSeenMs = new Map<string, Map<string, number>>();

  /** Adds the versions of an earlier leader. They stay for a whole lifetime from now, as the time before is not known. */
  public restore(versions: ServiceVersions, nowMs: number): void {
    for (const [service, names] of Object.entries(versions)) {
      for (const version of names) {
        this._see(service, version, nowMs);
      }
    }
  }

  /** Follows the present replicas, draining ones included. Returns true if a version came or went. */
  public observe(replicas: readonly Replica[], nowMs: number, lifetimeMs: number): boolean {
    let hasChanged = false;
    for (const { service, softwareVersion } of replicas) {
      hasChanged = this._see(service, softwareVersion, nowMs) || hasChanged;
    }
    for (const versions of this._lastSeenMs.values()) {
      for (const [version, lastSeenMs] of versions) {
        // The last version of a service stays: without replicas no stream begins at another one.
        if (nowMs - lastSeenMs > lifetimeMs && versions.size > 1) {
          versions.delete(version);
          hasChanged = true;
        }
      }
    }
    return hasChanged;
  }

  /** The versions of a service, in order. */
  public versionsOf(service: string): readonly string[] {
    return [...(this._lastSeenMs.get(service)?.keys() ?? [])].sort();
  }

  /** The versions of all services. */
  public snapshot(): ServiceVersions {
    return Object.fromEntries([...this._lastSeenMs.keys()].map((service) => [service, this.versionsOf(service)]));
  }

  private _see(service: string, version: string, nowMs: number): boolean {
    const versions = this._lastSeenMs.get(service) ?? new Map<string, number>();
    this._lastSeenMs.set(service, versions);
    const isNew = !versions.has(version);
    versions.set(version, nowMs);
    return isNew;
  }
}
