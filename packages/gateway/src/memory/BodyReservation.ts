import type { MemoryHolder, ReleaseReason } from './Types.js';

/**
 * Bytes after which a body counts as having made progress. A body that grows by a few bytes at a time would otherwise never
 * count as stalled.
 */
const progressBytes = 4 * 1024;

/** Why the rest of a body is not read. */
export type BodyRefusal = 'stalled' | 'noMemory';

/** Receives the decisions on the memory of a body. */
export interface BodyReservationListener {
  /** The body may be read on after `reserve` returned false. */
  onGranted(): void;
  onRefused(refusal: BodyRefusal): void;
}

/** The parts of the daemon's memory that a reservation uses. */
export interface ReservationContext {
  nowMs(): number;
  /** Decides on a demand; `pause` leaves the reservation in the queue of the waiting ones. */
  demand(reservation: BodyReservation, bytes: number): boolean;
  change(reservation: BodyReservation, bytes: number): void;
  remove(reservation: BodyReservation): void;
}

/** Memory reserved for the body of one request. */
export class BodyReservation implements MemoryHolder {
  private _heldBytes = 0;
  private _isComplete = false;
  private _isEnded = false;
  private _lastProgressMs: number;
  private _unaccountedBytes = 0;
  private _waitingSinceMs: number | undefined;
  private _wantedBytes = 0;

  public constructor(
    private readonly _context: ReservationContext,
    private readonly _listener: BodyReservationListener,
  ) {
    this._lastProgressMs = _context.nowMs();
  }

  public get heldBytes(): number {
    return this._heldBytes;
  }

  public get isReleasable(): boolean {
    return !this._isComplete && !this._isEnded;
  }

  /** Bytes that the body waits for; 0 if it does not wait. */
  public get neededBytes(): number {
    return Math.max(this._wantedBytes - this._heldBytes, 0);
  }

  /** Time for which the body has not been read on for lack of memory, milliseconds. */
  public waitedMs(nowMs: number): number {
    return this._waitingSinceMs === undefined ? 0 : nowMs - this._waitingSinceMs;
  }

  public stalledMs(nowMs: number): number {
    return this._waitingSinceMs === undefined ? nowMs - this._lastProgressMs : 0;
  }

  /** Counts received bytes as progress. */
  public recordReceived(bytes: number): void {
    this._unaccountedBytes += bytes;
    if (this._unaccountedBytes >= progressBytes) {
      this._unaccountedBytes = 0;
      this._lastProgressMs = this._context.nowMs();
    }
  }

  /** Reserves memory so that the body may hold `bytes`. False if it must not be read on until `onGranted`. */
  public reserve(bytes: number): boolean {
    this._wantedBytes = Math.max(bytes, this._wantedBytes);
    if (this.neededBytes === 0) {
      return true;
    }
    if (this._context.demand(this, this.neededBytes)) {
      this._grow();
      return true;
    }
    this._waitingSinceMs ??= this._context.nowMs();
    return false;
  }

  /** Lets a body that waits be read on. */
  public grant(): void {
    this._grow();
    this._waitingSinceMs = undefined;
    this._lastProgressMs = this._context.nowMs();
    this._listener.onGranted();
  }

  /** The whole body has been received; what it does not need is given back. */
  public complete(bytes: number): void {
    this._isComplete = true;
    this._setHeld(bytes);
  }

  /** Gives all memory back, once the request needs its body no longer. */
  public end(): void {
    if (!this._isEnded) {
      this._isEnded = true;
      this._context.remove(this);
    }
  }

  public release(reason: ReleaseReason): void {
    this.refuse(reason === 'stalled' ? 'stalled' : 'noMemory');
  }

  public refuse(refusal: BodyRefusal): void {
    if (!this._isEnded) {
      this.end();
      this._listener.onRefused(refusal);
    }
  }

  private _grow(): void {
    this._setHeld(Math.max(this._wantedBytes, this._heldBytes));
  }

  private _setHeld(bytes: number): void {
    const change = bytes - this._heldBytes;
    this._heldBytes = bytes;
    this._context.change(this, change);
  }
}
