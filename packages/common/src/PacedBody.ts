import type * as http from 'node:http';

/**
 * Parts of a body that are handled before the event loop serves other connections. Node.js reads up to 2 MiB of one
 * connection in a turn, which may hold some hundred thousand parts.
 */
const maximumPartsPerTurn = 256;

/** Delivers the parts of a body, a limited number in each turn of the event loop, so that a fast sender delays nobody else. */
export class PacedBody {
  private _partsLeft = maximumPartsPerTurn;
  private _isPaused = false;

  public constructor(
    private readonly _message: http.IncomingMessage,
    onPart: (part: Buffer) => void,
  ) {
    _message.on('data', (part: Buffer) => {
      this._countPart();
      onPart(part);
    });
  }

  /** Stops the delivery until `resume` is called. */
  public pause(): void {
    this._isPaused = true;
    this._message.pause();
  }

  public resume(): void {
    this._isPaused = false;
    if (this._partsLeft > 0) {
      this._message.resume();
    }
  }

  private _countPart(): void {
    this._partsLeft -= 1;
    if (this._partsLeft > 0) {
      return;
    }
    this._message.pause();
    setImmediate(() => {
      this._partsLeft = maximumPartsPerTurn;
      if (!this._isPaused) {
        this._message.resume();
      }
    });
  }
}
