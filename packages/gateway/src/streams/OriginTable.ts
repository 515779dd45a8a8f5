import { evictOldest } from '../evictOldest.js';
import type { OriginGroup, StreamOrigin } from './Types.js';

/** Largest number of origins that are kept. The oldest are dropped, and their streams are refused. */
const maximumOrigins = 200_000;

interface Entry extends Omit<StreamOrigin, 'attemptId'> {
  readonly sinceMs: number;
}

/** Origins of streams by attempt, for the lifetime of streams. */
export class OriginTable {
  private readonly _entries = new Map<string, Entry>();

  public get size(): number {
    return this._entries.size;
  }

  /** True if the next origin replaces the oldest one. */
  public get isFull(): boolean {
    return this._entries.size >= maximumOrigins;
  }

  /** Adds an origin; one that is known stays as it is. Returns true if it is new. */
  public add({ attemptId, service, version }: StreamOrigin, nowMs: number): boolean {
    if (this._entries.has(attemptId)) {
      return false;
    }
    this._entries.set(attemptId, { service, version, sinceMs: nowMs });
    evictOldest(this._entries, maximumOrigins);
    return true;
  }

  /** Software version that began the stream of an attempt; undefined if it is not known. */
  public versionOf(attemptId: string): string | undefined {
    return this._entries.get(attemptId)?.version;
  }

  /** Removes the origins that were added before a time. */
  public expire(beforeMs: number): void {
    for (const [attemptId, { sinceMs }] of this._entries) {
      if (sinceMs >= beforeMs) {
        return;
      }
      this._entries.delete(attemptId);
    }
  }

  public all(): readonly StreamOrigin[] {
    return [...this._entries].map(([attemptId, { service, version }]) => ({ attemptId, service, version }));
  }
}

/** Groups origins by service and version. */
export function groupOrigins(origins: readonly StreamOrigin[]): readonly OriginGroup[] {
  const groups = new Map<string, { readonly service: string; readonly version: string; attemptIds: string[] }>();
  for (const { attemptId, service, version } of origins) {
    const key = JSON.stringify([service, version]);
    const group = groups.get(key) ?? { service, version, attemptIds: [] };
    group.attemptIds.push(attemptId);
    groups.set(key, group);
  }
  return [...groups.values()];
}

/** The origins of groups, one by one. */
export function ungroupOrigins(groups: readonly OriginGroup[]): readonly StreamOrigin[] {
  return groups.flatMap(({ service, version, attemptIds }) =>
    attemptIds.map((attemptId) => ({ attemptId, service, version })),
  );
}
