import * as http from 'node:http';

/** Parts smaller than this are copied into blocks, bytes. */
const smallPartBytes = 1024;
/** Size of a block, bytes. */
const blockBytes = 4 * 1024;
/** Small parts of one request that are read in a turn of the event loop. A read of 64 KiB may hold 10,000 of them. */
const smallPartsPerTurn = 256;

/**
 * A received request whose body may arrive in many small parts. Node.js creates an object of some hundred bytes for each
 * chunk, so small parts are copied into blocks before they are kept. Requests that send more than a limited number of them
 * are read one at a time, one read in each turn of the event loop, so that together they delay nobody else.
 *
 * Node.js adds each part of the body by `push` and reads from the connection by `_read`.
 */
export class PacedRequest extends http.IncomingMessage {
  /** A small part that no other has followed yet. Most small bodies are one part, which needs no copy. */
  private _single: Buffer | undefined;
  private _block: Buffer | undefined;
  private _blockLength = 0;
  private _partsLeft = smallPartsPerTurn;
  private _isQueued = false;

  /** Called by Node.js for each part of the body, and with null at its end. False stops reading from the connection. */
  public override push(part: Buffer | null): boolean {
    if (part === null || part.length >= smallPartBytes) {
      this._flush();
      return super.push(part);
    }
    this._keep(part);
    this._partsLeft -= 1;
    if (this._partsLeft > 0) {
      return !this._isQueued;
    }
    if (!this._isQueued) {
      this._isQueued = true;
      slowRequests.add(this);
    }
    return false;
  }

  /** Called by Node.js when more of the body is wanted. */
  public override _read(size: number): void {
    if (!this._isQueued) {
      super._read(size);
    }
  }

  /** Reads on after the turn of the request has come. */
  public readOn(): void {
    this._isQueued = false;
    this._partsLeft = smallPartsPerTurn;
    if (this.readableLength < this.readableHighWaterMark) {
      super._read(0);
    }
  }

  private _keep(part: Buffer): void {
    if (this._block === undefined && this._single === undefined) {
      this._single = part;
      return;
    }
    const single = this._single;
    this._single = undefined;
    if (single !== undefined) {
      this._copy(single);
    }
    this._copy(part);
  }

  private _copy(part: Buffer): void {
    if (this._blockLength + part.length > blockBytes) {
      this._flush();
    }
    this._block ??= Buffer.allocUnsafeSlow(blockBytes);
    part.copy(this._block, this._blockLength);
    this._blockLength += part.length;
  }

  private _flush(): void {
    const filled = this._single ?? this._block?.subarray(0, this._blockLength);
    this._single = undefined;
    this._block = undefined;
    this._blockLength = 0;
    if (filled !== undefined) {
      super.push(filled);
    }
  }
}

/** Requests with many small parts, in the order in which they are read on. */
class SlowRequests {
  private readonly _requests: PacedRequest[] = [];
  private _isScheduled = false;

  public add(request: PacedRequest): void {
    this._requests.push(request);
    this._schedule();
  }

  private _schedule(): void {
    if (this._isScheduled || this._requests.length === 0) {
      return;
    }
    this._isScheduled = true;
    setImmediate(() => {
      this._isScheduled = false;
      this._requests.shift()?.readOn();
      this._schedule();
    });
  }
}

/** One for the process, as all its servers share one event loop. */
const slowRequests = new SlowRequests();
