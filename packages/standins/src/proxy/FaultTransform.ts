import * as stream from 'node:stream';
import type { DirectionFault } from './Types.js';

/** Maximum number of buffered bytes of a delayed direction; beyond it, backpressure slows the sender down. */
const maximumHeldBytes = 4 * 1024 * 1024;

/** Returns the current fault of a direction. Called with each new chunk. */
export type FaultProvider = (chunk?: Buffer) => DirectionFault;

/** Forwards chunks in order: immediately, after a delay, or not at all while the direction is dropped. */
export class FaultTransform extends stream.Transform {
  private readonly _delayed: { readonly chunk: Buffer; readonly dueMs: number }[] = [];
  private _delayedBytes = 0;
  private _timer: NodeJS.Timeout | undefined;
  /** Called when the direction is no longer dropped. */
  private _resumeAfterDrop: (() => void) | undefined;
  /** Called when the number of buffered bytes is within the limit. */
  private _resumeAfterFull: (() => void) | undefined;
  /** Called when no chunks are buffered. */
  private _resumeAfterEmpty: (() => void) | undefined;

  public constructor(private readonly _currentFault: FaultProvider) {
    super();
  }

  public override _transform(chunk: Buffer, _encoding: string, done: stream.TransformCallback): void {
    if (this._currentFault(chunk).drop) {
      this._resumeAfterDrop = () => {
        this._transform(chunk, _encoding, done);
      };
      return;
    }
    const { delayMs } = this._currentFault();
    if (delayMs === 0 && this._delayed.length === 0) {
      done(null, chunk);
      return;
    }
    this._delayed.push({ chunk, dueMs: performance.now() + delayMs });
    this._delayedBytes += chunk.length;
    this._resumeAfterFull = done;
    this._resumeIfPossible();
    this._schedule();
  }

  public override _flush(done: stream.TransformCallback): void {
    if (this._currentFault().drop) {
      this._resumeAfterDrop = () => {
        this._flush(done);
      };
    } else if (this._delayed.length > 0) {
      this._resumeAfterEmpty = done;
    } else {
      done();
    }
  }

  public override _read(size: number): void {
    super._read(size);
    this._resumeIfPossible();
  }

  public override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    clearTimeout(this._timer);
    done(error);
  }

  /** Applies a changed fault. */
  public update(): void {
    if (!this._currentFault().drop) {
      const resume = this._resumeAfterDrop;
      this._resumeAfterDrop = undefined;
      resume?.();
    }
  }

  private _schedule(): void {
    const [first] = this._delayed;
    if (first && this._timer === undefined) {
      this._timer = setTimeout(
        () => {
          this._timer = undefined;
          this._pushDueChunks();
        },
        Math.max(0, first.dueMs - performance.now()),
      );
    }
  }

  private _pushDueChunks(): void {
    const nowMs = performance.now();
    while ((this._delayed[0]?.dueMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
      const chunk = this._delayed.shift()?.chunk;
      this._delayedBytes -= chunk?.length ?? 0;
      this.push(chunk);
    }
    this._resumeIfPossible();
    this._schedule();
  }

  private _resumeIfPossible(): void {
    if (this._resumeAfterFull && this._delayedBytes + this.readableLength <= maximumHeldBytes) {
      const resume = this._resumeAfterFull;
      this._resumeAfterFull = undefined;
      resume();
    }
    if (this._resumeAfterEmpty && this._delayed.length === 0) {
      const resume = this._resumeAfterEmpty;
      this._resumeAfterEmpty = undefined;
      resume();
    }
  }
}
