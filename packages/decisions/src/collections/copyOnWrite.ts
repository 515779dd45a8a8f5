/** Copy-on-write operations on read-only maps. */

/** Returns a copy of the map with one entry set; an existing key keeps its position. */
export function withEntry<Key, Value>(map: ReadonlyMap<Key, Value>, key: Key, value: Value): ReadonlyMap<Key, Value> {
  return new Map(map).set(key, value);
}

/** Returns a copy of the map without one key, or the same map if it does not contain the key. */
export function withoutEntry<Key, Value>(map: ReadonlyMap<Key, Value>, key: Key): ReadonlyMap<Key, Value> {
  if (!map.has(key)) {
    return map;
  }
  const copy = new Map(map);
  copy.delete(key);
  return copy;
}

/** Returns a copy of the map with the entries to keep, or the same map if all entries are kept. */
export function filterEntries<Key, Value>(
  map: ReadonlyMap<Key, Value>,
  keep: (value: Value, key: Key) => boolean,
): ReadonlyMap<Key, Value> {
  const kept = new Map<Key, Value>();
  for (const [key, value] of map) {
    if (keep(value, key)) {
      kept.set(key, value);
    }
  }
  return kept.size === map.size ? map : kept;
}
