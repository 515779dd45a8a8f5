/** Largest event of a stream, bytes. */
const maximumEventBytes = 1024 * 1024;
const separator = Buffer.from('\n\n');
const dataPrefix = 'data: ';
const indexField = '"token_index":';

/** What a chunk of a stream yields. */
export interface CheckedChunk {
  /** Events for the caller, in order; may be empty. */
  readonly text: string;
  /** Why the stream cannot be trusted from here on. */
  readonly fault?: 'foreignAnswer' | 'tokenGap' | 'tokenRepeat' | 'malformed' | 'engineError';
}

/**
 * Checks the server-sent events of one engine answer and gives them the caller's request id. An event passes only if
 * it carries the id of this attempt and the next token index.
 */
export class StreamChecker {
  private readonly _expectedStart: string;
  private readonly _publicStart: string;
  private _carry: Buffer | undefined;
  private _nextIndex: number;
  private _done = false;

  public constructor(
    private readonly _engineId: string,
    private readonly _publicId: string,
    nextIndex: number,
  ) {
    this._expectedStart = `${dataPrefix}{"id":"${_engineId}"`;
    this._publicStart = `${dataPrefix}{"id":"${_publicId}"`;
    this._nextIndex = nextIndex;
  }

  /** Index of the next token to deliver. */
  public get nextIndex(): number {
    return this._nextIndex;
  }

  /** Whether the end marker was seen. */
  public get done(): boolean {
    return this._done;
  }

  /** Takes bytes as they arrive. After a fault the checker must not be used again. */
  public push(chunk: Buffer): CheckedChunk {
    const bytes = this._carry ? Buffer.concat([this._carry, chunk]) : chunk;
    const end = bytes.lastIndexOf(separator);
    const complete = end < 0 ? 0 : end + separator.length;
    this._carry = complete < bytes.length ? bytes.subarray(complete) : undefined;
    if (this._carry && this._carry.length > maximumEventBytes) {
      return { text: '', fault: 'malformed' };
    }
    return complete === 0 ? { text: '' } : this._checkEvents(bytes.toString('utf8', 0, end));
  }

  private _checkEvents(text: string): CheckedChunk {
    let passed = '';
    for (const event of text.split('\n\n')) {
      if (this._done || event === '' || event.startsWith(':')) {
        continue;
      }
      if (event === 'data: [DONE]') {
        this._done = true;
        passed += `${event}\n\n`;
        continue;
      }
      const checked = event.startsWith(this._expectedStart) ? this._checkFast(event) : this._checkParsed(event);
      if (checked.fault) {
        return { text: passed, fault: checked.fault };
      }
      passed += checked.text;
    }
    return { text: passed };
  }

  /** Quotes inside JSON strings are escaped, so the field name can be searched for without parsing. */
  private _checkFast(event: string): CheckedChunk {
    const at = event.indexOf(indexField, this._expectedStart.length);
    const fault = at < 0 ? undefined : this._takeIndex(parseInt(event.slice(at + indexField.length, at + 30), 10));
    return fault ? { text: '', fault } : { text: `${this._publicStart}${event.slice(this._expectedStart.length)}\n\n` };
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
    if (fields.id !== this._engineId) {
      return { text: '', fault: 'error' in fields && !('id' in fields) ? 'engineError' : 'foreignAnswer' };
    }
    const index = findTokenIndex(fields);
    const fault = index === undefined ? undefined : this._takeIndex(index);
    return fault
      ? { text: '', fault }
      : { text: `${dataPrefix}${JSON.stringify({ ...fields, id: this._publicId })}\n\n` };
  }

  private _takeIndex(index: number): 'tokenGap' | 'tokenRepeat' | undefined {
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
