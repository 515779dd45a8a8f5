import { insertLatest } from './insertLatest.js';
import type { CheckpointTier } from './Types.js';

/** Checkpoints on the engine's VM: the latest in memory, older ones on disk, the rest only in the weight store. */
export class CheckpointCache {
  private readonly _memory = new Map<string, number>();
  private readonly _disk = new Map<string, number>();

  public constructor(
    private readonly _memoryBytes: number,
    private readonly _diskBytes: number,
  ) {}

  public tierOf(checkpoint: string): CheckpointTier {
    if (this._memory.has(checkpoint)) {
      return 'memory';
    }
    return this._disk.has(checkpoint) ? 'disk' : 'remote';
  }

  /** Adds a loaded checkpoint as the latest one. */
  public keep(checkpoint: string, bytes: number): void {
    insertLatest(this._memory, checkpoint, bytes, this._memoryBytes);
    insertLatest(this._disk, checkpoint, bytes, this._diskBytes);
  }

  /** Puts a checkpoint into a tier, for a test. */
  public place(checkpoint: string, tier: CheckpointTier): void {
    this._memory.delete(checkpoint);
    this._disk.delete(checkpoint);
    if (tier !== 'remote') {
      (tier === 'memory' ? this._memory : this._disk).set(checkpoint, 0);
    }
  }
}
