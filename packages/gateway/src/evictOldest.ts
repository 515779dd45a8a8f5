/** A map or a set whose keys are in the order of their insertion. */
export interface KeyedEntries<Key> {
  readonly size: number;
  keys(): Iterable<Key>;
  delete(key: Key): boolean;
}

/** Removes the entries that were inserted first until at most `limit` remain. */
export function evictOldest<Key>(entries: KeyedEntries<Key>, limit: number): void {
  for (const key of entries.keys()) {
    if (entries.size <= limit) {
      return;
    }
    entries.delete(key);
  }
}
