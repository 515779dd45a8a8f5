import { BodyReservation, type BodyReservationListener, type ReservationContext } from './BodyReservation.js';
import type { ClientLimitMetrics } from './ClientLimitMetrics.js';
import { MemoryBudget } from './MemoryBudget.js';

/** Interval at which bodies that wait for memory are considered again, milliseconds. */
const retryMs = 100;

/** Reserves the memory for bodies of requests. Bodies that wait are considered in order of what they hold, smallest first. */
export class CallerMemory implements Disposable {
  public readonly budget: MemoryBudget;
  private readonly _waiting = new Set<BodyReservation>();
  private readonly _context: ReservationContext;
  private _retryTimer: NodeJS.Timeout | undefined;

  public constructor(
    totalBytes: number,
    private readonly _metrics: ClientLimitMetrics,
    private readonly _nowMs: () => number,
  ) {
    this.budget = new MemoryBudget(totalBytes);
    this._context = {
      nowMs: _nowMs,
      demand: (reservation, bytes) => this._demand(reservation, bytes),
      change: (reservation, bytes) => {
        this.budget.change(reservation, bytes);
      },
      remove: (reservation) => {
        this._waiting.delete(reservation);
        this.budget.remove(reservation);
      },
    };
  }

  /** Begins the reservation for a body. It ends with `BodyReservation.end`. */
  public openBody(listener: BodyReservationListener): BodyReservation {
    const reservation = new BodyReservation(this._context, {
      onGranted: () => {
        listener.onGranted();
      },
      onRefused: (refusal) => {
        this._metrics.count(refusal === 'stalled' ? 'bodyStalled' : 'bodyWithoutMemory');
        listener.onRefused(refusal);
      },
    });
    this.budget.add(reservation);
    return reservation;
  }

  /** Counts a body over the operators' limit. */
  public recordTooLarge(): void {
    this._metrics.count('bodyTooLarge');
  }

  public [Symbol.dispose](): void {
    clearTimeout(this._retryTimer);
  }

  private _demand(reservation: BodyReservation, bytes: number): boolean {
    if (this._waiting.size === 0 || reservation.heldBytes === 0) {
      const decision = this.budget.demand(reservation, bytes, 0, this._nowMs());
      if (decision === 'grant') {
        return true;
      }
    }
    this._waiting.add(reservation);
    this._retryTimer ??= setTimeout(() => {
      this._retry();
    }, retryMs);
    return false;
  }

  /** Considers the waiting bodies again. Only the largest of those that waited too long is refused, which lets others go on. */
  private _retry(): void {
    this._retryTimer = undefined;
    const nowMs = this._nowMs();
    const waiting = [...this._waiting].sort((a, b) => a.heldBytes - b.heldBytes);
    const refusable: BodyReservation[] = [];
    for (const reservation of waiting) {
      if (!this._waiting.has(reservation)) {
        continue;
      }
      const decision = this.budget.demand(reservation, reservation.neededBytes, reservation.waitedMs(nowMs), nowMs);
      if (decision === 'grant') {
        this._waiting.delete(reservation);
        reservation.grant();
      } else if (decision === 'refuse') {
        refusable.push(reservation);
      }
    }
    refusable.at(-1)?.refuse('noMemory');
    if (this._waiting.size > 0) {
      this._retryTimer ??= setTimeout(() => {
        this._retry();
      }, retryMs);
    }
  }
}
