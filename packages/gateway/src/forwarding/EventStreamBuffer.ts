import * as common from '@jayhaven/common';

/**
 * Maximum size of an event, bytes. A faulty replica may send bytes endlessly without the end of an event, in as many streams
 * as it has slots.
 */
const maximumEventBytes = 256 * 1024;

const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Splits a stream of server-sent events into complete events and keeps the identifier of the last one. Events end with an
 * empty line; lines end with LF, CR or CRLF, also mixed within one event.
 */
export class EventStreamBuffer {
  private readonly _partialEvent = new common.ByteCollector();
  private _lastEventId: string | undefined;
  private _completeEvents = 0;
  private _hasInvalidId = false;
  private _lineIsEmpty = true;
  private _eventIsEmpty = true;
  private _afterCarriageReturn = false;

  /** Identifier of the last complete event that has one. */
  public get lastEventId(): string | undefined {
    return this._lastEventId;
  }

  /** Number of complete events so far. */
  public get completeEvents(): number {
    return this._completeEvents;
  }

  /** True once an event has grown too long. */
  public get isEventTooLong(): boolean {
    return this._partialEvent.length > maximumEventBytes;
  }

  /**
   * True once an event has an identifier that cannot be sent as a header. Such an event is not returned: the stream
   * could not be resumed after it.
   */
  public get hasInvalidId(): boolean {
    return this._hasInvalidId;
  }

  /** True if bytes of an event have been received without its end. */
  public get isInsideEvent(): boolean {
    return this._partialEvent.length > 0;
  }

  /** Returns the events completed by a chunk; empty if it completes none. */
  public push(chunk: Buffer): Buffer {
    const end = this._endOfEvents(chunk);
    if (end === 0) {
      this._partialEvent.append(chunk);
      return Buffer.alloc(0);
    }
    const completeEvents = this._completePartialEvent(chunk.subarray(0, end));
    this._partialEvent.append(chunk.subarray(end));
    const ids = eventIds(completeEvents);
    this._hasInvalidId = !ids.every(common.isHeaderValue);
    if (this._hasInvalidId) {
      return Buffer.alloc(0);
    }
    this._lastEventId = ids.at(-1) ?? this._lastEventId;
    return completeEvents;
  }

  /** Returns the bytes after the last complete event; called when the stream is complete. */
  public flush(): Buffer {
    const partialEvent = this._partialEvent.take();
    this.dropPartial();
    return partialEvent;
  }

  /** Drops a partial event before the stream is resumed at another replica. */
  public dropPartial(): void {
    this._hasInvalidId = false;
    this._partialEvent.clear();
    this._lineIsEmpty = true;
    this._eventIsEmpty = true;
    this._afterCarriageReturn = false;
  }

  private _completePartialEvent(rest: Buffer): Buffer {
    if (this._partialEvent.length === 0) {
      return rest;
    }
    this._partialEvent.append(rest);
    return this._partialEvent.take();
  }

  /** Position in a chunk after the last empty line; 0 if it has none. */
  private _endOfEvents(chunk: Buffer): number {
    let end = 0;
    for (let index = 0; index < chunk.length; index += 1) {
      const byte = chunk[index];
      if (byte === lineFeed && this._afterCarriageReturn) {
        this._afterCarriageReturn = false;
        // The empty line, if it was one, ended with CRLF.
        end = this._eventIsEmpty && this._lineIsEmpty ? index + 1 : end;
      } else if (byte === lineFeed || byte === carriageReturn) {
        this._afterCarriageReturn = byte === carriageReturn;
        end = this._endLine() ? index + 1 : end;
      } else {
        this._afterCarriageReturn = false;
        this._lineIsEmpty = false;
        this._eventIsEmpty = false;
      }
    }
    return end;
  }

  /** Ends a line; returns true if it was empty, which ends the event. */
  private _endLine(): boolean {
    const endsEvent = this._lineIsEmpty;
    if (endsEvent && !this._eventIsEmpty) {
      this._completeEvents += 1;
      this._eventIsEmpty = true;
    }
    this._lineIsEmpty = true;
    return endsEvent;
  }
}

function eventIds(completeEvents: Buffer): readonly string[] {
  const text = completeEvents.toString('latin1');
  return [...text.matchAll(/^id: ?([^\r\n]*)\r?$/gm)].map((match) => match[1] ?? '');
}
