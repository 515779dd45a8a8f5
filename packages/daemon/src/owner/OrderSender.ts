import * as decisions from '@jayhaven/decisions';
import { EngineClient } from './EngineClient.js';
import type { ReportAppender } from './ReportAppender.js';
import type { OwnerServices } from './OwnerServices.js';
import type { OrderAnswer } from './Types.js';

/** Pause before the first retry of an order, milliseconds; doubled for each further retry up to the maximum. */
const initialRetryMs = 50;
const maximumRetryMs = 2_000;
/** Attempts without any delivered byte after which the order is settled as not sent. */
const undeliveredLimit = 5;

/** Progress of this process in sending one order. */
interface DeliveryState {
  attempts: number;
  sending: boolean;
  /** A broken attempt may still be delivered until this time. */
  deliverableUntilMs: number;
  /** Whether any attempt may have reached the engine. */
  mayHaveRun: boolean;
  nextAttemptMs: number;
  answer: OrderAnswer | undefined;
}

/** Sends the orders of this daemon, with retries, and reports their results. */
export class OrderSender {
  private readonly _deliveries = new Map<decisions.OrderId, DeliveryState>();

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _reports: ReportAppender,
    /** Called when an answer has arrived or a report has taken effect. */
    private readonly _onProgress: (order: decisions.OrderEntry) => void,
  ) {}

  /** Answer of the engine to the latest attempt of an order. */
  public lastAnswer(order: decisions.OrderId): OrderAnswer | undefined {
    return this._deliveries.get(order)?.answer;
  }

  /** Whether the attempts of an order have ended without any byte having reached the engine. */
  public wasNeverDelivered(order: decisions.OrderId): boolean {
    const delivery = this._deliveries.get(order);
    return delivery !== undefined && !delivery.sending && delivery.attempts >= undeliveredLimit && !delivery.mayHaveRun;
  }

  /** Takes the next step of an order of which this daemon is a sender. */
  public advance(order: decisions.OrderEntry): void {
    const { control, context } = this._services;
    const claim = order.senders.get(control.incarnation);
    if (claim === undefined) {
      return;
    }
    const delivery = this._deliveryOf(order.order);
    if (delivery.sending) {
      return;
    }
    const nowMs = context.now();
    if (
      delivery.answer !== undefined &&
      delivery.answer.kind !== 'unknown' &&
      delivery.answer.kind !== 'notDelivered'
    ) {
      this._reportSettled(order, delivery, nowMs);
    } else if (this._services.lease.currentClaim() === claim && isDue(control.log.state, order)) {
      this._startAttempt(order, delivery, claim, nowMs);
    } else if (this._mustNotSendAgain(order, claim)) {
      this._reportSettled(order, delivery, nowMs);
    }
  }

  /** Drops settled orders; the answer to a load is kept as long as its replica. */
  public dropSettled(state: decisions.ControlState): void {
    for (const [order, delivery] of this._deliveries) {
      if (!delivery.sending && !state.orders.has(order) && !state.replicas.has(order)) {
        this._deliveries.delete(order);
      }
    }
  }

  /** Whether this daemon will not send the order again: its claim was superseded or released, or it is not due. */
  private _mustNotSendAgain(order: decisions.OrderEntry, claim: decisions.ClaimOffset): boolean {
    const { state } = this._services.control.log;
    const cell = state.cells.get(this._services.context.settings.daemon.cell);
    return cell?.claim !== claim || !isDue(state, order);
  }

  private _startAttempt(
    order: decisions.OrderEntry,
    delivery: DeliveryState,
    claim: decisions.ClaimOffset,
    nowMs: number,
  ): void {
    if (nowMs < delivery.nextAttemptMs) {
      return;
    }
    if (delivery.attempts >= undeliveredLimit && !delivery.mayHaveRun) {
      delivery.answer = { kind: 'refused', message: 'the engine cannot be reached; nothing was sent' };
      this._reportSettled(order, delivery, nowMs);
      return;
    }
    delivery.sending = true;
    delivery.attempts += 1;
    void this._send(order, claim).then((answer) => {
      this._handleAnswer(order, delivery, answer);
    });
  }

  private _handleAnswer(order: decisions.OrderEntry, delivery: DeliveryState, answer: OrderAnswer): void {
    const { context } = this._services;
    const nowMs = context.now();
    delivery.sending = false;
    delivery.answer = answer;
    if (answer.kind !== 'notDelivered') {
      delivery.mayHaveRun = true;
    }
    if (answer.kind === 'unknown') {
      delivery.deliverableUntilMs = nowMs + context.settings.owner.orderDeliveryMs;
    }
    delivery.nextAttemptMs = nowMs + Math.min(maximumRetryMs, initialRetryMs * 2 ** (delivery.attempts - 1));
    context.timeline.record({
      part: 'owner',
      event: 'orderAnswered',
      model: EngineClient.modelName(order),
      replica: order.replica,
      offset: order.order,
      detail: { action: order.action, answer: answer.kind, attempts: delivery.attempts },
    });
    this._onProgress(order);
  }

  /** Reports the result once no broken attempt can be delivered any more. */
  private _reportSettled(order: decisions.OrderEntry, delivery: DeliveryState, nowMs: number): void {
    if (nowMs < delivery.deliverableUntilMs) {
      return;
    }
    const result = delivery.mayHaveRun ? 'sent' : 'notSent';
    void this._reports.append({ kind: 'orderSettled', order: order.order, result }).then((accepted) => {
      if (accepted) {
        this._onProgress(order);
      }
    });
  }

  private _send(order: decisions.OrderEntry, token: decisions.ClaimOffset): Promise<OrderAnswer> {
    const { engines, control } = this._services;
    const { target } = order;
    if (order.action === 'load') {
      const settings = decisions.modelSettings(control.log.state, order.partner, order.model);
      return engines.load({ ...order, cacheBytes: settings?.cacheBytes ?? 0, token });
    }
    if (order.action === 'unload') {
      return engines.unload(target, order, token);
    }
    const adapterOrder = { ...order, adapter: order.adapter ?? '', token };
    return order.action === 'adapterLoad' ? engines.loadAdapter(adapterOrder) : engines.unloadAdapter(adapterOrder);
  }

  private _deliveryOf(order: decisions.OrderId): DeliveryState {
    let delivery = this._deliveries.get(order);
    if (delivery === undefined) {
      delivery = {
        attempts: 0,
        sending: false,
        deliverableUntilMs: -Infinity,
        mayHaveRun: false,
        nextAttemptMs: -Infinity,
        answer: undefined,
      };
      this._deliveries.set(order, delivery);
    }
    return delivery;
  }
}

/** Whether an order is still needed: its replica or adapter is still loading or unloading. */
export function isDue(state: decisions.ControlState, order: decisions.OrderEntry): boolean {
  const replica = state.replicas.get(order.replica);
  const entry = order.adapter === undefined ? replica : replica?.adapters.get(order.adapter);
  const isLoad = order.action === 'load' || order.action === 'adapterLoad';
  return entry?.state === (isLoad ? 'loading' : 'unloading');
}
