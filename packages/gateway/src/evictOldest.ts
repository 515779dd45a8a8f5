/** A map or a set whose keys are in the order of their insertion. */
export interface KeyedEntries {
  readonly size: number;
  keys(): Iterable<string>;
  delete(key: string): boolean;
}

/** Removes the entries that were inserted first until at most `limit` remain. */
export function evictOldest(entries: KeyedEntries, limit: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= limit) {
      return;
    }
    entries.delete(key);
  }
}
