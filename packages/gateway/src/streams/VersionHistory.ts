import type { Replica } from '../Types.js';
import type { HistoryVersions, ServiceVersions } from './Types.js';

/** The only version of a service, or else its base. */
export function soleOrBase(versions: readonly string[], base: string | undefined): string | undefined {
  return versions.length === 1 ? versions[0] : base;
}

/**
 * The software versions at which a stream may have begun that its caller can still take up, by service: those of the
 * present replicas, and those that were present within the lifetime of streams. While a service has several, its base is
 * the version that stood alone before: each stream without a record began there, since streams at the others are recorded
 * before their first event.
 */
export class VersionHistory {
  /** When a replica of a version was last seen, by service and version, steady milliseconds. */
  private readonly _lastSeenMs = new Map<string, Map<string, number>>();
  /** Bases of the services with several versions. */
  private readonly _bases = new Map<string, string>();

  /**
   * Adds the stored versions of an earlier leader. They stay for a whole lifetime from now, as the time before is not known.
   * Versions that this history has already are those of reported streams; one that is not stored leaves no base certain.
   */
  public restore({ versions, bases = {} }: HistoryVersions, nowMs: number): void {
    for (const [service, names] of Object.entries(versions)) {
      const isStored = this.versionsOf(service).every((version) => names.includes(version));
      this._seeAll(service, names, nowMs);
      this._setBase(service, isStored ? soleOrBase(names, bases[service]) : undefined);
    }
  }

  /** Adds the versions that another leader has stored meanwhile. A base stays only if both agree on it. */
  public merge({ versions, bases = {} }: HistoryVersions, nowMs: number): void {
    for (const [service, names] of Object.entries(versions)) {
      const own = this.baseOf(service);
      this._seeAll(service, names, nowMs);
      this._setBase(service, own === soleOrBase(names, bases[service]) ? own : undefined);
    }
  }

  /** Adds a version that no leader has announced, but at which a stream has begun. Others may have begun there without a record. */
  public addUnannounced(service: string, version: string, nowMs: number): void {
    this._see(service, version, nowMs);
    this._setBase(service, undefined);
  }

  /**
   * Follows the present replicas, draining ones included. Returns true if a version or a base came or went. `isComplete` is
   * false while a version may be missing, so that none certainly stood alone.
   */
  public observe(replicas: readonly Replica[], nowMs: number, lifetimeMs: number, isComplete = true): boolean {
    const before = JSON.stringify(this.snapshot());
    // Of versions that are first seen together, none stood alone.
    const bases = new Map([...this._lastSeenMs.keys()].map((service) => [service, this.baseOf(service)]));
    for (const { service, softwareVersion } of replicas) {
      if (this._see(service, softwareVersion, nowMs)) {
        this._setBase(service, isComplete ? bases.get(service) : undefined);
      }
    }
    for (const [service, versions] of this._lastSeenMs) {
      for (const [version, lastSeenMs] of versions) {
        // The last version of a service stays: without replicas no stream begins at another one.
        if (nowMs - lastSeenMs > lifetimeMs && versions.size > 1) {
          versions.delete(version);
        }
      }
      this._dropAbsentBase(service, replicas);
    }
    return JSON.stringify(this.snapshot()) !== before;
  }

  /** The versions of a service, in order. */
  public versionsOf(service: string): readonly string[] {
    return [...(this._lastSeenMs.get(service)?.keys() ?? [])].sort();
  }

  /** Version at which the streams of a service without a record began; undefined if that is not certain. */
  public baseOf(service: string): string | undefined {
    return soleOrBase(this.versionsOf(service), this._bases.get(service));
  }

  /** Forgets all bases of services with several versions, as records of streams may be missing. Returns true if there were any. */
  public forgetBases(): boolean {
    const hadBases = this._bases.size > 0;
    this._bases.clear();
    return hadBases;
  }

  /** The versions and bases of all services. */
  public snapshot(): Required<HistoryVersions> {
    const versions: ServiceVersions = Object.fromEntries(
      [...this._lastSeenMs.keys()].map((service) => [service, this.versionsOf(service)]),
    );
    return { versions, bases: Object.fromEntries(this._bases) };
  }

  /**
   * A base without a replica is forgotten. Daemons without a leader may then begin streams at other versions that they
   * could not record, which must not count as its streams if it comes back.
   */
  private _dropAbsentBase(service: string, replicas: readonly Replica[]): void {
    const base = this._bases.get(service);
    const present = replicas.filter((replica) => replica.service === service);
    const isAbsent = present.length > 0 && !present.some(({ softwareVersion }) => softwareVersion === base);
    if (base !== undefined && (isAbsent || this.versionsOf(service).length === 1)) {
      this._bases.delete(service);
    }
  }

  private _setBase(service: string, base: string | undefined): void {
    if (base === undefined || this.versionsOf(service).length === 1) {
      this._bases.delete(service);
    } else {
      this._bases.set(service, base);
    }
  }

  private _seeAll(service: string, versions: readonly string[], nowMs: number): void {
    for (const version of versions) {
      this._see(service, version, nowMs);
    }
  }

  private _see(service: string, version: string, nowMs: number): boolean {
    const versions = this._lastSeenMs.get(service) ?? new Map<string, number>();
    this._lastSeenMs.set(service, versions);
    const isNew = !versions.has(version);
    versions.set(version, nowMs);
    return isNew;
  }
}
