import * as decisions from '@jayhaven/decisions';

/** In-memory control topic, shared by the daemons of one test. */
export class MemoryLog {
  public readonly records: decisions.ControlRecord[] = [];
  public available = true;
  /** Time before an append takes effect, milliseconds. */
  public delayMs = 0;
  private readonly _readers = new Set<() => void>();

  /** Appends a record and notifies every daemon. */
  public append(envelope: decisions.RecordEnvelope<decisions.ControlRecordBody>): decisions.Offset {
    const offset = this.records.length;
    this.records.push({ ...envelope, offset });
    for (const read of this._readers) {
      setImmediate(read);
    }
    return offset;
  }

  /** Registers a reader that is called after each append. */
  public subscribe(read: () => void): void {
    this._readers.add(read);
  }

  /** Records that a separate replay of the topic accepts. */
  public accepted(limits: decisions.ControlLimits): readonly decisions.ControlRecord[] {
    let state = decisions.emptyControlState(limits);
    return this.records.filter((record) => {
      const result = decisions.replay(state, record);
      state = result.state;
      return result.verdict.kind === 'accepted';
    });
  }
}
