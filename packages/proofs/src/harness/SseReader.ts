/** The fields of a completion stream's chunk that the harness checks. */
export interface StreamChunk {
  readonly id?: string;
  readonly token_index?: number;
  readonly choices?: readonly { readonly text?: string; readonly delta?: { readonly content?: string } }[];
  readonly error?: unknown;
}

/** Parses server-sent events as their bytes arrive. */
export class SseReader {
  private readonly _decoder = new TextDecoder();
  private _incompleteEvent = '';
  private _done = false;

  /** Whether the end marker has arrived. */
  public get done(): boolean {
    return this._done;
  }

  /** Appends bytes and returns the chunks that they complete. */
  public push(bytes: Uint8Array): readonly StreamChunk[] {
    const events = (this._incompleteEvent + this._decoder.decode(bytes, { stream: true })).split('\n\n');
    this._incompleteEvent = events.pop() ?? '';
    const chunks: StreamChunk[] = [];
    for (const event of events) {
      const data = event
        .split('\n')
        .filter((line) => line.startsWith('data:'))
        .map((line) => line.slice('data:'.length).trim())
        .join('\n');
      if (data === '[DONE]') {
        this._done = true;
      } else if (data !== '') {
        chunks.push(JSON.parse(data) as StreamChunk);
      }
    }
    return chunks;
  }
}
