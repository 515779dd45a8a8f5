/** Events end with an empty line. */
const eventEnd = Buffer.from('\n\n');
/** Maximum size of an event, bytes. A faulty replica may send bytes endlessly without the end of an event. */
const maximumEventBytes = 1024 * 1024;

/** Splits a stream of server-sent events into complete events and keeps the identifier of the last one. */
export class EventStreamBuffer {
  private _partialEvent: Buffer = Buffer.alloc(0);
  private _lastEventId: string | undefined;

  /** Identifier of the last complete event that has one. */
  public get lastEventId(): string | undefined {
    return this._lastEventId;
  }

  /** True once an event has grown too long. */
  public get isEventTooLong(): boolean {
    return this._partialEvent.length > maximumEventBytes;
  }

  /** Returns the events completed by a chunk; empty if it completes none. */
  public push(chunk: Buffer): Buffer {
    const bytes = this._partialEvent.length === 0 ? chunk : Buffer.concat([this._partialEvent, chunk]);
    const end = bytes.lastIndexOf(eventEnd);
    if (end < 0) {
      this._partialEvent = bytes;
      return Buffer.alloc(0);
    }
    const completeEvents = bytes.subarray(0, end + eventEnd.length);
    this._partialEvent = bytes.subarray(end + eventEnd.length);
    this._updateLastEventId(completeEvents);
    return completeEvents;
  }

  /** Returns the bytes after the last complete event; called when the stream is complete. */
  public flush(): Buffer {
    const partialEvent = this._partialEvent;
    this._partialEvent = Buffer.alloc(0);
    return partialEvent;
  }

  /** Drops a partial event before the stream is resumed at another replica. */
  public dropPartial(): void {
    this._partialEvent = Buffer.alloc(0);
  }

  private _updateLastEventId(completeEvents: Buffer): void {
    const text = completeEvents.toString('latin1');
    for (const match of text.matchAll(/^id: ?([^\r\n]*)\r?$/gm)) {
      this._lastEventId = match[1] ?? this._lastEventId;
    }
  }
}
