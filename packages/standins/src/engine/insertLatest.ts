/** Adds an entry as the latest one and evicts the oldest ones until the total size fits. */
export function insertLatest(entries: Map<string, number>, name: string, bytes: number, sizeBytes: number): void {
  entries.delete(name);
  entries.set(name, bytes);
  let used = [...entries.values()].reduce((sum, entry) => sum + entry, 0);
  for (const [oldest, oldestBytes] of entries) {
    if (used <= sizeBytes) {
      break;
    }
    entries.delete(oldest);
    used -= oldestBytes;
  }
}
