/** Smallest capacity, bytes. */
const minimumCapacityBytes = 256;

/**
 * Collects bytes that arrive in parts, in time and memory proportional to their number: the capacity doubles, and the parts
 * are copied, since a part of one byte keeps the whole buffer that it was received in.
 */
export class ByteCollector {
  private _bytes = Buffer.alloc(0);
  private _length = 0;

  /** Number of bytes collected. */
  public get length(): number {
    return this._length;
  }

  public append(part: Buffer): void {
    const length = this._length + part.length;
    if (length > this._bytes.length) {
      const grown = Buffer.allocUnsafe(Math.max(length, this._bytes.length * 2, minimumCapacityBytes));
      this._bytes.copy(grown, 0, 0, this._length);
      this._bytes = grown;
    }
    part.copy(this._bytes, this._length);
    this._length = length;
  }

  /** Returns the bytes collected and begins anew. */
  public take(): Buffer {
    const taken = this._bytes.subarray(0, this._length);
    this.clear();
    return taken;
  }

  public clear(): void {
    this._bytes = Buffer.alloc(0);
    this._length = 0;
  }
}
