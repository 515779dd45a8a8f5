import type { HistoryVersions, ServiceVersions } from './Types.js';
import { soleOrBase } from './VersionHistory.js';

/** Time for which replicas of a version that is not announced begin no streams, milliseconds. */
const longestHoldMs = 3_000; // a change of the leader takes 2.2 s, and then its first read and write

/**
 * Decides at which software versions streams may begin. The leader stores a new version before it announces it, so that
 * the stored versions prove where streams began. A leader that cannot store it must not keep a service out of use, so a
 * version may also be used after some time if no replica of an announced one is there.
 */
export class VersionGate {
  private _announced: ServiceVersions | undefined;
  private _bases: Readonly<Record<string, string>> = {};
  /** When a version that is not announced was first asked for, by service and version, steady milliseconds. */
  private readonly _heldSinceMs = new Map<string, number>();
  /** When replicas of a base were last seen, or first missed, by service and version, steady milliseconds. */
  private readonly _baseSeenMs = new Map<string, number>();

  public constructor(
    /** The versions of the present replicas of a service. */
    private readonly _presentVersions: (service: string) => readonly string[] = () => [],
  ) {}

  /** Applies the versions that the leader announces, or that the store's records state to a daemon without a leader. */
  public announce(versions: ServiceVersions, bases: HistoryVersions['bases'] = {}): void {
    this._announced = versions;
    this._bases = bases;
    this._heldSinceMs.clear();
  }

  /** False before any versions were announced. */
  public get hasAnnouncement(): boolean {
    return this._announced !== undefined;
  }

  /** True if a version of a service is announced. */
  public isAnnounced(service: string, version: string): boolean {
    return this._announced?.[service]?.includes(version) === true;
  }

  /**
   * True if the first event of a stream must not be passed on before its origin is stored: a stream without a record counts
   * as one of the base of its service. It does not once the base has been without replicas for some time, as none of its
   * streams can go on then.
   */
  public needsRecord(service: string, version: string, nowMs: number): boolean {
    const base = soleOrBase(this._announced?.[service] ?? [], this._bases[service]);
    if (base === undefined || base === version) {
      return false;
    }
    const key = JSON.stringify([service, base]);
    const isPresent = this._presentVersions(service).includes(base);
    const seenMs = isPresent ? nowMs : (this._baseSeenMs.get(key) ?? nowMs);
    this._baseSeenMs.set(key, seenMs);
    return nowMs - seenMs < longestHoldMs;
  }

  /** True if a stream may begin at a version of a service. `isRecording` is false while origins are not stored in time. */
  public mayBegin(service: string, version: string, nowMs: number, isRecording = true): boolean {
    const needsRecord = this.needsRecord(service, version, nowMs);
    if (this.isAnnounced(service, version)) {
      return isRecording || !needsRecord;
    }
    const others = this._presentVersions(service).filter((present) => present !== version);
    if (this._announced !== undefined && this._announced[service] === undefined && others.length === 0) {
      return true;
    }
    const key = JSON.stringify([service, version]);
    const sinceMs = this._heldSinceMs.get(key) ?? nowMs;
    this._heldSinceMs.set(key, sinceMs);
    const isAnyAnnounced = others.some((other) => this.isAnnounced(service, other));
    return nowMs - sinceMs >= longestHoldMs && !isAnyAnnounced && !needsRecord;
  }
}
