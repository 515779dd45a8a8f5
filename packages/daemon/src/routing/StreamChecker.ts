import * as common from '@jayhaven/common';

/** Largest event of a stream, bytes. */
const maximumEventBytes = 1024 * 1024;
const separator = Buffer.from('\n\n');
const lineFeed = 0x0a;
const dataPrefix = 'data: ';
const indexField = '"token_index":';

/** Result of checking a chunk of a stream. */
export interface CheckedChunk {
  /** Accepted events for the caller, in order; may be empty. */
  readonly text: string;
  /** Why the stream is invalid after these events. */
  readonly fault?: 'foreignAnswer' | 'tokenGap' | 'tokenRepeat' | 'malformed' | 'engineError';
}

/**
 * Checks the server-sent events of one engine response and replaces the request id by that of the caller. An event is
 * accepted only if it has the id of this attempt and, if it has a token index, the next one.
 */
export class StreamChecker {
  private readonly _expectedStart: string;
  private readonly _callerStart: string;
  private readonly _incompleteEvent = new common.ByteCollector();
  private _endsWithLineFeed = false;
  private _nextIndex: number;
  private _done = false;

  public constructor(
    private readonly _engineRequestId: string,
    private readonly _callerRequestId: string,
    nextIndex: number,
  ) {
    this._expectedStart = `${dataPrefix}{"id":"${_engineRequestId}"`;
    this._callerStart = `${dataPrefix}{"id":"${_callerRequestId}"`;
    this._nextIndex = nextIndex;
  }

  /** Index of the next token to deliver. */
  public get nextIndex(): number {
    return this._nextIndex;
  }

  /** Whether the end marker was received. */
  public get done(): boolean {
    return this._done;
  }

  /** Checks the next bytes of the stream. Must not be called again after a fault. */
  public push(chunk: Buffer): CheckedChunk {
    const completeLength = this._lengthOfCompleteEvents(chunk);
    if (completeLength === 0) {
      return this._keep(chunk) ?? { text: '' };
    }
    this._incompleteEvent.append(chunk.subarray(0, completeLength));
    const bytes = this._incompleteEvent.take();
    const fault = this._keep(chunk.subarray(completeLength));
    return fault ?? this._checkEvents(bytes.toString('utf8', 0, bytes.length - separator.length));
  }

  /** Number of bytes of a chunk up to the end of its last event; 0 if it ends none. */
  private _lengthOfCompleteEvents(chunk: Buffer): number {
    const end = chunk.lastIndexOf(separator);
    if (end >= 0) {
      return end + separator.length;
    }
    return this._endsWithLineFeed && chunk[0] === lineFeed ? 1 : 0;
  }

  /** Keeps the bytes of an incomplete event. Returns a fault if it is too long. */
  private _keep(bytes: Buffer): CheckedChunk | undefined {
    this._incompleteEvent.append(bytes);
    this._endsWithLineFeed = bytes.length > 0 ? bytes.at(-1) === lineFeed : this._endsWithLineFeed;
    return this._incompleteEvent.length > maximumEventBytes ? { text: '', fault: 'malformed' } : undefined;
  }

  private _checkEvents(text: string): CheckedChunk {
    let acceptedText = '';
    for (const event of text.split('\n\n')) {
      if (this._done || event === '' || event.startsWith(':')) {
        continue;
      }
      if (event === 'data: [DONE]') {
        this._done = true;
        acceptedText += `${event}\n\n`;
        continue;
      }
      const checked = event.startsWith(this._expectedStart) ? this._checkByPrefix(event) : this._checkParsed(event);
      if (checked.fault) {
        return { text: acceptedText, fault: checked.fault };
      }
      acceptedText += checked.text;
    }
    return { text: acceptedText };
  }

  /** Finds the token index without parsing. Quotes inside JSON strings are escaped, so the field name is unique. */
  private _checkByPrefix(event: string): CheckedChunk {
    const position = event.indexOf(indexField, this._expectedStart.length);
    const fault =
      position < 0
        ? undefined
        : this._acceptIndex(parseInt(event.slice(position + indexField.length, position + 30), 10));
    return fault ? { text: '', fault } : { text: `${this._callerStart}${event.slice(this._expectedStart.length)}\n\n` };
  }

  private _checkParsed(event: string): CheckedChunk {
    let json: unknown;
    try {
      json = JSON.parse(event.startsWith(dataPrefix) ? event.slice(dataPrefix.length) : '');
    } catch {
      return { text: '', fault: 'malformed' };
    }
    if (typeof json !== 'object' || json === null) {
      return { text: '', fault: 'malformed' };
    }
    const fields = json as Readonly<Record<string, unknown>>;
    if (fields.id !== this._engineRequestId) {
      return { text: '', fault: 'error' in fields && !('id' in fields) ? 'engineError' : 'foreignAnswer' };
    }
    const index = findTokenIndex(fields);
    const fault = index === undefined ? undefined : this._acceptIndex(index);
    return fault
      ? { text: '', fault }
      : { text: `${dataPrefix}${JSON.stringify({ ...fields, id: this._callerRequestId })}\n\n` };
  }

  private _acceptIndex(index: number): 'tokenGap' | 'tokenRepeat' | undefined {
    if (index === this._nextIndex) {
      this._nextIndex += 1;
      return undefined;
    }
    return index < this._nextIndex ? 'tokenRepeat' : 'tokenGap';
  }
}

function findTokenIndex(fields: Readonly<Record<string, unknown>>): number | undefined {
  const choice: unknown = Array.isArray(fields.choices) ? fields.choices[0] : undefined;
  const inChoice = typeof choice === 'object' && choice !== null && 'token_index' in choice && choice.token_index;
  const index = fields.token_index ?? inChoice;
  return typeof index === 'number' ? index : undefined;
}
