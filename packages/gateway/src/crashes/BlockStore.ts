import type * as common from '@jayhaven/common';
import type { MetadataStore } from '../contracts/MetadataStore.js';
import { evictOldest } from '../evictOldest.js';
import type { PartBlock } from './Types.js';

/** A stored block. The time of day is used, because it outlives the process and the VM. */
interface BlockRecord {
  readonly parts: readonly string[];
  readonly untilWallMs: number;
  readonly repetition: number;
}

/** Largest number of removed blocks that are kept. */
const maximumRemoved = 256;

/** Keeps blocks in the metadata store: one write when a block begins or ends, one read when a daemon starts or leads. */
export class BlockStore {
  private readonly _unsaved = new Map<string, string | undefined>();
  /** Keys of the blocks that this daemon has removed. */
  private readonly _removed = new Set<string>();
  private _isWriting = false;

  public constructor(
    private readonly _store: Pick<MetadataStore, 'readBlocks' | 'writeBlock'>,
    private readonly _wallMs: () => number,
    private readonly _log: common.Logger,
  ) {}

  /** Stored blocks by key; undefined if the store cannot be read. */
  public async read(): Promise<ReadonlyMap<string, PartBlock> | undefined> {
    const outcome = await this._store.readBlocks();
    if (!outcome.ok) {
      this._log.warn('Could not read the blocks.', { reason: outcome.failure.message });
      return undefined;
    }
    const entries = outcome.value.flatMap(({ key, value }) => {
      const block = value === undefined || value === '' ? undefined : this._decode(key, value);
      return block === undefined ? [] : [[key, block] as const];
    });
    return new Map(entries);
  }

  /** Stores a block, or removes it if `block` is undefined; tried again with `retry` until it succeeds. */
  public write(key: string, block: PartBlock | undefined): void {
    this._unsaved.set(key, block === undefined ? undefined : this._encode(block));
    this._removed.delete(key);
    if (block === undefined) {
      this._removed.add(key);
      evictOldest(this._removed, maximumRemoved);
    }
    this.retry();
  }

  /** Removes the blocks again that this daemon has removed: a restored store may have them back. */
  public removeAgain(): void {
    for (const key of [...this._removed]) {
      this.write(key, undefined);
    }
  }

  /** True if a change of the block is not stored yet. */
  public isUnsaved(key: string): boolean {
    return this._unsaved.has(key);
  }

  /** Writes one change that is not stored yet, if any. */
  public retry(): void {
    const [next] = this._unsaved;
    if (next !== undefined && !this._isWriting) {
      this._isWriting = true;
      void this._write(...next).then(() => {
        this._isWriting = false;
      });
    }
  }

  private async _write(key: string, value: string | undefined): Promise<void> {
    const outcome = await this._store.writeBlock(key, value);
    if (!outcome.ok) {
      this._log.warn('Could not store a block; trying again.', { key, reason: outcome.failure.message });
    } else if (this._unsaved.get(key) === value) {
      this._unsaved.delete(key);
    }
  }

  private _encode({ parts, leftMs, repetition }: PartBlock): string {
    const record: BlockRecord = { parts, untilWallMs: Math.round(this._wallMs() + leftMs), repetition };
    return JSON.stringify(record);
  }

  private _decode(key: string, text: string): PartBlock | undefined {
    const record = parseRecord(text);
    if (record === undefined) {
      this._log.warn('The record of a block is unreadable.', { key });
      return undefined;
    }
    const leftMs = record.untilWallMs - this._wallMs();
    return { parts: record.parts, leftMs: Math.max(leftMs, 0), repetition: record.repetition };
  }
}

function parseRecord(text: string): BlockRecord | undefined {
  try {
    const { parts, untilWallMs, repetition } = JSON.parse(text) as Partial<BlockRecord>;
    const isValid = Array.isArray(parts) && parts.length > 0 && parts.every((part) => typeof part === 'string');
    return isValid && Number.isFinite(untilWallMs) && Number.isFinite(repetition)
      ? { parts, untilWallMs: Number(untilWallMs), repetition: Number(repetition) }
      : undefined;
  } catch {
    return undefined;
  }
}
