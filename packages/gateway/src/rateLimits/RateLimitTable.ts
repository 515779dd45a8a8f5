import * as common from '@jayhaven/common';
import type { RateLimitStatement } from './Types.js';

/**
 * Time for which all responses must state a higher limit, or none, before it applies, milliseconds. Responses of
 * different daemons overtake each other, and an older one may state the former limit.
 */
const raiseDelayMs = 1_000;
/** Largest number of limits that are kept. */
const maximumEntries = 4_096;

interface Entry {
  readonly bornMs: number;
  readonly perSecond: number;
  /** Time since which responses state a higher limit or none, steady milliseconds. */
  readonly higherSinceMs?: number;
}

/** Rate limits in force, by replica, from the statements of the replicas. A lower limit applies at once. */
export class RateLimitTable {
  private readonly _entries = new Map<string, Entry>();
  private readonly _onChanged = new common.Emitter<RateLimitStatement>();
  /** Fires when a limit begins, changes or ends. */
  public readonly onChanged = this._onChanged.event;

  /** Number of replicas with a limit. */
  public get size(): number {
    return this._entries.size;
  }

  /** Limit in force of a replica, requests per second; undefined without one. */
  public perSecond(replicaId: string): number | undefined {
    return this._entries.get(replicaId)?.perSecond;
  }

  /** All limits in force. */
  public limits(): readonly RateLimitStatement[] {
    return [...this._entries].map(([replicaId, { bornMs, perSecond }]) => ({ replicaId, bornMs, perSecond }));
  }

  /**
   * Applies a statement of a replica. Returns true if it differs from the limit in force. Only the daemon that decides
   * for the others, or one that hears no leader, raises a limit; the others would send more than it grants.
   */
  public record(statement: RateLimitStatement, mayRaise: boolean, nowMs: number): boolean {
    const entry = this._entries.get(statement.replicaId);
    if (statement.bornMs !== entry?.bornMs) {
      return this._recordOtherStart(statement, entry);
    }
    const stated = statement.perSecond ?? Number.POSITIVE_INFINITY;
    if (stated > entry.perSecond) {
      if (mayRaise) {
        this._recordHigher(statement, entry, nowMs);
      }
      return true;
    }
    if (stated < entry.perSecond) {
      this.set(statement);
      return true;
    }
    if (entry.higherSinceMs !== undefined) {
      this._entries.set(statement.replicaId, { bornMs: entry.bornMs, perSecond: entry.perSecond });
    }
    return false;
  }

  /** Puts a limit in force, or ends it if the statement has none. A statement of an earlier start changes nothing. */
  public set(statement: RateLimitStatement): void {
    const { replicaId, bornMs, perSecond } = statement;
    const before = this._entries.get(replicaId);
    if (before !== undefined && bornMs < before.bornMs) {
      return;
    }
    this._entries.delete(replicaId);
    if (perSecond !== undefined) {
      this._entries.set(replicaId, { bornMs, perSecond });
      this._evictOldest();
    }
    if (before?.perSecond !== perSecond || (perSecond !== undefined && before?.bornMs !== bornMs)) {
      this._onChanged.fire(statement);
    }
  }

  /** Removes the limits of replicas that are gone or have started anew. `bornMsOf` is the start time of a replica. */
  public retain(bornMsOf: (replicaId: string) => number | undefined): void {
    for (const [replicaId, { bornMs }] of this._entries) {
      const currentBornMs = bornMsOf(replicaId);
      if (currentBornMs === undefined || currentBornMs > bornMs) {
        this.set({ replicaId, bornMs });
      }
    }
  }

  /** Applies a statement of a replica without a limit, or of another start of a replica with one. */
  private _recordOtherStart(statement: RateLimitStatement, entry: Entry | undefined): boolean {
    const isEarlierStart = entry !== undefined && statement.bornMs < entry.bornMs;
    const isUnlimited = entry === undefined && statement.perSecond === undefined;
    if (isEarlierStart || isUnlimited) {
      return false;
    }
    this.set(statement);
    return true;
  }

  private _recordHigher(statement: RateLimitStatement, entry: Entry, nowMs: number): void {
    const higherSinceMs = entry.higherSinceMs ?? nowMs;
    if (nowMs - higherSinceMs >= raiseDelayMs) {
      this.set(statement);
    } else {
      this._entries.set(statement.replicaId, { ...entry, higherSinceMs });
    }
  }

  private _evictOldest(): void {
    const [oldest] = this._entries.keys();
    if (oldest !== undefined && this._entries.size > maximumEntries) {
      this._entries.delete(oldest);
    }
  }
}
