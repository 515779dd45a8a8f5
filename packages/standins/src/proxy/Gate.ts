import * as stream from 'node:stream';
import type { DirectionFault } from './Types.js';

/** Bytes that a delayed direction holds before it slows its sender down. */
const maximumHeldBytes = 4 * 1024 * 1024;

/** Says what happens to a direction; is shown each new chunk. */
export type FaultOf = (chunk?: Buffer) => DirectionFault;

/** Passes chunks on in order: at once, after a delay, or not at all while the direction is dropped. */
export class Gate extends stream.Transform {
  private readonly _delayed: { readonly chunk: Buffer; readonly dueMs: number }[] = [];
  private _delayedBytes = 0;
  private _timer: NodeJS.Timeout | undefined;
  /** Continues when the direction is no longer dropped. */
  private _dropped: (() => void) | undefined;
  /** Continues when fewer bytes are held. */
  private _full: (() => void) | undefined;
  /** Continues when nothing is held. */
  private _emptied: (() => void) | undefined;

  public constructor(private readonly _fault: FaultOf) {
    super();
  }

  public override _transform(chunk: Buffer, _encoding: string, done: stream.TransformCallback): void {
    if (this._fault(chunk).drop) {
      this._dropped = () => {
        this._transform(chunk, _encoding, done);
      };
      return;
    }
    const { delayMs } = this._fault();
    if (delayMs === 0 && this._delayed.length === 0) {
      done(null, chunk);
      return;
    }
    this._delayed.push({ chunk, dueMs: performance.now() + delayMs });
    this._delayedBytes += chunk.length;
    this._full = done;
    this._continue();
    this._schedule();
  }

  public override _flush(done: stream.TransformCallback): void {
    if (this._fault().drop) {
      this._dropped = () => {
        this._flush(done);
      };
    } else if (this._delayed.length > 0) {
      this._emptied = done;
    } else {
      done();
    }
  }

  public override _read(size: number): void {
    super._read(size);
    this._continue();
  }

  public override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    clearTimeout(this._timer);
    done(error);
  }

  /** Takes over a changed fault. */
  public update(): void {
    if (!this._fault().drop) {
      const dropped = this._dropped;
      this._dropped = undefined;
      dropped?.();
    }
  }

  private _schedule(): void {
    const [first] = this._delayed;
    if (first && this._timer === undefined) {
      this._timer = setTimeout(
        () => {
          this._timer = undefined;
          this._release();
        },
        Math.max(0, first.dueMs - performance.now()),
      );
    }
  }

  private _release(): void {
    const nowMs = performance.now();
    while ((this._delayed[0]?.dueMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
      const chunk = this._delayed.shift()?.chunk;
      this._delayedBytes -= chunk?.length ?? 0;
      this.push(chunk);
    }
    this._continue();
    this._schedule();
  }

  private _continue(): void {
    if (this._full && this._delayedBytes + this.readableLength <= maximumHeldBytes) {
      const full = this._full;
      this._full = undefined;
      full();
    }
    if (this._emptied && this._delayed.length === 0) {
      const emptied = this._emptied;
      this._emptied = undefined;
      emptied();
    }
  }
}
