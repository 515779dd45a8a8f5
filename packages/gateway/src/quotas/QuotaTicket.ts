import type { Instant } from '../Types.js';

/** Decision on a request that has a ticket. */
export type TicketResult =
  | { readonly kind: 'granted' }
  /** `retryAfterMs` is absent if the request is larger than the quota ever allows. */
  | { readonly kind: 'refused'; readonly reason: string; readonly retryAfterMs?: number };

/** State of a ticket on its way to a result. */
export type TicketState =
  /** Has to be part of the next message to the leader. */
  | { readonly kind: 'unasked' }
  /** Is part of a message that the leader has not answered. */
  | { readonly kind: 'asked'; readonly askedAt: Instant }
  /** Is granted from a later time on. */
  | { readonly kind: 'delayed'; readonly askedAt: Instant; readonly delayMs: number; readonly readyMs: number }
  /** Asks again at a later time, as a new leader has nothing to grant yet. */
  | { readonly kind: 'held'; readonly untilMs: number }
  | { readonly kind: 'done'; readonly result: TicketResult };

/** A request of a tenant with a quota. */
export class QuotaTicket {
  public state: TicketState = { kind: 'unasked' };
  /** Called when the result is known; not set while the result may be returned directly. */
  public onDone: (() => void) | undefined;

  public constructor(
    public readonly units: number,
    /** Time until the deadline of the request, milliseconds. */
    public readonly timeLeftMs: (nowMs: number) => number,
  ) {}

  public get result(): TicketResult | undefined {
    return this.state.kind === 'done' ? this.state.result : undefined;
  }

  public finish(result: TicketResult): void {
    this.state = { kind: 'done', result };
    this.onDone?.();
  }
}
