/** A map of limited size that evicts the least recently set entry. */
export class BoundedMap<Key, Value> {
  private readonly _entries = new Map<Key, Value>();

  public constructor(private readonly _capacity: number) {}

  public get(key: Key): Value | undefined {
    return this._entries.get(key);
  }

  public set(key: Key, value: Value): void {
    this._entries.delete(key);
    this._entries.set(key, value);
    if (this._entries.size > this._capacity) {
      for (const oldest of this._entries.keys()) {
        this._entries.delete(oldest);
        break;
      }
    }
  }
}
