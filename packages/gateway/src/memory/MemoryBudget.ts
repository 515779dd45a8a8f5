import { chooseReleases, decideMemory, type MemoryDecision } from './decideMemory.js';
import type { MemoryHolder } from './Types.js';

/** The memory that all clients of the daemon may hold together. */
export class MemoryBudget {
  private readonly _holders = new Set<MemoryHolder>();
  private _usedBytes = 0;

  public constructor(private readonly _totalBytes: number) {}

  public get usedBytes(): number {
    return this._usedBytes;
  }

  /** Adds a holder that may lose its memory. */
  public add(holder: MemoryHolder): void {
    this._holders.add(holder);
    this._usedBytes += holder.heldBytes;
  }

  /** Removes a holder; what it still holds is given back. */
  public remove(holder: MemoryHolder): void {
    if (this._holders.delete(holder)) {
      this._usedBytes -= holder.heldBytes;
    }
  }

  /** Counts a change of what a holder holds, which the holder applies itself. */
  public change(holder: MemoryHolder, bytes: number): void {
    if (this._holders.has(holder)) {
      this._usedBytes += bytes;
    }
  }

  /** Decides on a demand and releases other holders for it. If granted, the holder applies the change itself. */
  public demand(holder: MemoryHolder, neededBytes: number, waitedMs: number, nowMs: number): MemoryDecision['kind'] {
    const decision = decideMemory(
      { heldBytes: holder.heldBytes, neededBytes, waitedMs },
      { totalBytes: this._totalBytes, freeBytes: this._totalBytes - this._usedBytes, holders: this._others(holder) },
      nowMs,
    );
    if (decision.kind === 'grant') {
      for (const release of decision.releases) {
        release.holder.release(release.reason);
      }
    }
    return decision.kind;
  }

  /** Releases holders while more is held than the budget allows, as what connections hold is only measured afterwards. */
  public enforce(nowMs: number): void {
    const excessBytes = this._usedBytes - this._totalBytes;
    if (excessBytes <= 0) {
      return;
    }
    const releasable = [...this._holders].filter((holder) => holder.isReleasable);
    const releasableBytes = releasable.reduce((sum, holder) => sum + holder.heldBytes, 0);
    const releases = chooseReleases(Math.min(excessBytes, releasableBytes), releasable, nowMs, true) ?? [];
    for (const { holder, reason } of releases) {
      holder.release(reason);
    }
  }

  private *_others(holder: MemoryHolder): Iterable<MemoryHolder> {
    for (const other of this._holders) {
      if (other !== holder) {
        yield other;
      }
    }
  }
}
