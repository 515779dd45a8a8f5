import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { ControlChange, ControlLog } from '../Types.js';

/** Maximum number of configuration versions whose application time is kept; about a day of edits at full scale. */
const maximumVersions = 4096;

/** Records when this daemon applied records and when configuration versions came into force here. */
export class AppliedTimes {
  private readonly _versionTimes = new Map<decisions.Offset, number>();
  private readonly _rejectedByRule = new Map<string, number>();
  private readonly _unsubscribe: common.Unsubscribe;
  private _appliedAtMs: number;

  public constructor(
    private readonly _log: ControlLog,
    private readonly _wallNow: () => number,
  ) {
    this.startedAtMs = _wallNow();
    this._appliedAtMs = this.startedAtMs;
    this._unsubscribe = _log.onChange((change) => {
      this._recordChange(change);
    });
  }

  public readonly startedAtMs: number;

  /** When the last record was applied. */
  public get appliedAtMs(): number {
    return this._appliedAtMs;
  }

  /** Records that replay rejected since the start, by rule. */
  public get rejectedRecords(): Readonly<Record<string, number>> {
    return Object.fromEntries(this._rejectedByRule);
  }

  /** When each version came into force here; the start of the daemon for versions it started with. */
  public versionTimes(versions: readonly decisions.Offset[]): Readonly<Record<string, number>> {
    if (versions.length === 0) {
      return {};
    }
    const inForce = new Set([...this._log.state.configuration.values()].map((entry) => entry.version));
    const times: Record<string, number> = {};
    for (const version of versions.filter((candidate) => inForce.has(candidate))) {
      times[String(version)] = this._versionTimes.get(version) ?? this.startedAtMs;
    }
    return times;
  }

  /** Unsubscribes from the log. */
  public dispose(): void {
    this._unsubscribe();
  }

  private _recordChange({ record, verdict, state }: ControlChange): void {
    const nowMs = this._wallNow();
    this._appliedAtMs = nowMs;
    if (verdict.kind === 'rejected') {
      this._rejectedByRule.set(verdict.rule, (this._rejectedByRule.get(verdict.rule) ?? 0) + 1);
    }
    if (verdict.kind !== 'accepted') {
      return;
    }
    const { body } = record;
    const version =
      body.kind === 'configurationEdited'
        ? record.offset
        : body.kind === 'configurationApproved'
          ? body.edit
          : undefined;
    // A pending edit is recorded when the last approval brings it into force.
    if (version !== undefined && [...state.configuration.values()].some((entry) => entry.version === version)) {
      this._versionTimes.set(version, nowMs);
      this._evictOldest();
    }
  }

  private _evictOldest(): void {
    const [oldest] = this._versionTimes.keys();
    if (oldest !== undefined && this._versionTimes.size > maximumVersions) {
      this._versionTimes.delete(oldest);
    }
  }
}
