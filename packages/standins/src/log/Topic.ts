/** A record as the log returns it. */
export interface StoredRecord {
  readonly offset: number;
  readonly value: unknown;
  readonly timestamp: number;
}

interface Entry extends StoredRecord {
  readonly bytes: number;
}

/** One topic with a single partition, held in memory. */
export class Topic {
  private _entries: Entry[] = [];
  private _beginningOffset = 0;
  private readonly _waiters = new Set<() => void>();

  public get beginningOffset(): number {
    return this._beginningOffset;
  }

  public get endOffset(): number {
    return this._beginningOffset + this._entries.length;
  }

  /** Appends values in order. Returns the offset of the first. */
  public append(values: readonly unknown[], nowMs: number): number {
    const firstOffset = this.endOffset;
    for (const value of values) {
      const bytes = Buffer.byteLength(JSON.stringify(value ?? null));
      this._entries.push({ offset: this.endOffset, value, timestamp: nowMs, bytes });
    }
    this.notifyWaiters();
    return firstOffset;
  }

  /** Reads records from an offset up to a size limit. The first record is returned even if it exceeds the limit. */
  public read(offset: number, maximumBytes: number): { readonly records: StoredRecord[]; readonly bytes: number } {
    const records: StoredRecord[] = [];
    let bytes = 0;
    for (let index = offset - this._beginningOffset; index < this._entries.length; index += 1) {
      const entry = this._entries[index];
      if (!entry || (records.length > 0 && bytes + entry.bytes > maximumBytes)) {
        break;
      }
      records.push({ offset: entry.offset, value: entry.value, timestamp: entry.timestamp });
      bytes += entry.bytes;
    }
    return { records, bytes };
  }

  /** Drops records older than a time. */
  public dropBefore(timeMs: number): void {
    const firstKeptIndex = this._entries.findIndex((entry) => entry.timestamp >= timeMs);
    const droppedCount = firstKeptIndex === -1 ? this._entries.length : firstKeptIndex;
    this._entries = this._entries.slice(droppedCount);
    this._beginningOffset += droppedCount;
  }

  /** Resolves at the next append, at a call of `notifyWaiters`, or after the timeout. */
  public waitForChange(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this._waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      this._waiters.add(finish);
    });
  }

  /** Resolves all pending waits. */
  public notifyWaiters(): void {
    for (const waiter of [...this._waiters]) {
      waiter();
    }
  }
}
