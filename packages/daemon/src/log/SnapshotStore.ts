import { randomUUID } from 'node:crypto';
import * as common from '@jayhaven/common';
import * as zod from 'zod';
import type { LogClient } from './LogClient.js';
import type { LogFailure, StateImage } from './Types.js';

/** Keeps a chunk under 256 KiB: quoting it as JSON at most doubles ASCII text. */
const maximumChunkCharacters = 96 * 1024;

const chunkSchema = zod.object({
  kind: zod.literal('chunk'),
  snapshot: zod.string(),
  index: zod.number(),
  text: zod.string(),
});
const finalSchema = zod.object({
  kind: zod.literal('final'),
  snapshot: zod.string(),
  chunks: zod.number(),
  nextOffset: zod.number(),
  takenAtMs: zod.number(),
});
const recordSchema = zod.discriminatedUnion('kind', [chunkSchema, finalSchema]);

/** Writes snapshots of one topic's state to its snapshot topic and reads the newest complete one. */
export class SnapshotStore {
  public constructor(
    private readonly _client: LogClient,
    private readonly _topic: string,
    private readonly _timeoutMs: number,
  ) {}

  /** Writes a snapshot in chunks; the final record makes it complete. A failed write leaves unused chunks. */
  public async write(image: StateImage): Promise<common.Outcome<number, LogFailure>> {
    const snapshot = randomUUID();
    const text = JSON.stringify(image.state);
    const chunks = Math.max(1, Math.ceil(text.length / maximumChunkCharacters));
    for (let index = 0; index < chunks; index += 1) {
      const chunk = text.slice(index * maximumChunkCharacters, (index + 1) * maximumChunkCharacters);
      const written = await this._append({ kind: 'chunk', snapshot, index, text: chunk });
      if (!written.ok) {
        return written;
      }
    }
    const { nextOffset, takenAtMs } = image;
    return this._append({ kind: 'final', snapshot, chunks, nextOffset, takenAtMs });
  }

  /** Reads the complete snapshot with the highest offset; `undefined` if there is none. */
  public async readNewest(): Promise<common.Outcome<StateImage | undefined, LogFailure>> {
    const range = await this._client.offsets(this._topic, this._timeoutMs);
    if (!range.ok) {
      return range;
    }
    const chunksBySnapshot = new Map<string, string[]>();
    let newest: StateImage | undefined;
    let offset = range.value.beginningOffset;
    while (offset < range.value.endOffset) {
      const read = await this._client.read(this._topic, offset, 0, this._timeoutMs);
      if (!read.ok) {
        return read;
      }
      for (const record of read.value) {
        newest = processRecord(chunksBySnapshot, record.value, newest);
      }
      offset = (read.value.at(-1)?.offset ?? range.value.endOffset) + 1;
    }
    return common.succeed(newest);
  }

  /** Offset after the last record of the snapshot topic; `undefined` if the log does not respond. */
  public async endOffset(): Promise<number | undefined> {
    const range = await this._client.offsets(this._topic, this._timeoutMs);
    return range.ok ? range.value.endOffset : undefined;
  }

  private _append(value: zod.infer<typeof recordSchema>): Promise<common.Outcome<number, LogFailure>> {
    return this._client.append(this._topic, [value], this._timeoutMs);
  }
}

/** Processes one record of the snapshot topic and returns the newest complete image so far. */
function processRecord(
  chunksBySnapshot: Map<string, string[]>,
  value: unknown,
  newest: StateImage | undefined,
): StateImage | undefined {
  const parsed = recordSchema.safeParse(value);
  if (!parsed.success) {
    return newest;
  }
  const record = parsed.data;
  if (record.kind === 'chunk') {
    const chunks = chunksBySnapshot.get(record.snapshot) ?? [];
    chunks[record.index] = record.text;
    chunksBySnapshot.set(record.snapshot, chunks);
    return newest;
  }
  const chunks = chunksBySnapshot.get(record.snapshot) ?? [];
  chunksBySnapshot.delete(record.snapshot);
  // Retention may have removed the first chunks.
  const complete = Array.from({ length: record.chunks }, (_none, index) => chunks[index]).every(
    (text) => text !== undefined,
  );
  if (!complete || (newest && newest.nextOffset >= record.nextOffset)) {
    return newest;
  }
  const { nextOffset, takenAtMs } = record;
  return { nextOffset, takenAtMs, state: JSON.parse(chunks.join('')) as unknown };
}
