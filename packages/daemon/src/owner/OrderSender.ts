import * as decisions from '@jayhaven/decisions';
import { EngineClient } from './EngineClient.js';
import type { Reports } from './Reports.js';
import type { OwnerServices } from './OwnerServices.js';
import type { OrderAnswer } from './Types.js';

/** Pause before an order is sent again, milliseconds; doubled each time up to the longest pause. */
const firstRetryMs = 50;
const longestRetryMs = 2_000;
/** Attempts that delivered nothing, after which the order is given up as not sent. */
const undeliveredLimit = 5;

/** What this process did about one order. */
interface SendRecord {
  attempts: number;
  sending: boolean;
  /** An attempt broke and may still be delivered until this time has passed. */
  deliverableUntilMs: number;
  /** Some attempt may have reached the engine. */
  mayHaveRun: boolean;
  nextAttemptMs: number;
  answer: OrderAnswer | undefined;
}

/** Sends orders of this daemon and reports what became of them. */
export class OrderSender {
  private readonly _records = new Map<decisions.OrderId, SendRecord>();

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _reports: Reports,
    /** Called when an answer arrived or a report took effect. */
    private readonly _progressed: (order: decisions.OrderEntry) => void,
  ) {}

  /** Answer of the engine to the last attempt of an order. */
  public answerTo(order: decisions.OrderId): OrderAnswer | undefined {
    return this._records.get(order)?.answer;
  }

  /** Whether an order was given up without any byte having reached the engine. */
  public wasNeverDelivered(order: decisions.OrderId): boolean {
    const record = this._records.get(order);
    return record !== undefined && !record.sending && record.attempts >= undeliveredLimit && !record.mayHaveRun;
  }

  /** Brings an order of which this daemon is a sender one step further. */
  public drive(order: decisions.OrderEntry): void {
    const { control, context } = this._services;
    const claim = order.senders.get(control.incarnation);
    if (claim === undefined) {
      return;
    }
    const record = this._recordOf(order.order);
    if (record.sending) {
      return;
    }
    const nowMs = context.now();
    if (record.answer !== undefined && record.answer.kind !== 'unknown' && record.answer.kind !== 'notDelivered') {
      this._settle(order, record, nowMs);
    } else if (this._services.lease.currentClaim() === claim && isDue(control.log.state, order)) {
      this._attempt(order, record, claim, nowMs);
    } else if (this._hasLost(order, claim)) {
      this._settle(order, record, nowMs);
    }
  }

  /** Forgets orders that are settled; the answer to a load is kept as long as its replica. */
  public forgetSettled(state: decisions.ControlState): void {
    for (const [order, record] of this._records) {
      if (!record.sending && !state.orders.has(order) && !state.replicas.has(order)) {
        this._records.delete(order);
      }
    }
  }

  /** The claim was superseded or released, or the order is no longer due: this daemon will not send it again. */
  private _hasLost(order: decisions.OrderEntry, claim: decisions.ClaimOffset): boolean {
    const { state } = this._services.control.log;
    const cell = state.cells.get(this._services.context.settings.daemon.cell);
    return cell?.claim !== claim || !isDue(state, order);
  }

  private _attempt(order: decisions.OrderEntry, record: SendRecord, claim: decisions.ClaimOffset, nowMs: number): void {
    if (nowMs < record.nextAttemptMs) {
      return;
    }
    if (record.attempts >= undeliveredLimit && !record.mayHaveRun) {
      record.answer = { kind: 'refused', message: 'the engine cannot be reached; nothing was sent' };
      this._settle(order, record, nowMs);
      return;
    }
    record.sending = true;
    record.attempts += 1;
    void this._send(order, claim).then((answer) => {
      this._answered(order, record, answer);
    });
  }

  private _answered(order: decisions.OrderEntry, record: SendRecord, answer: OrderAnswer): void {
    const { context } = this._services;
    const nowMs = context.now();
    record.sending = false;
    record.answer = answer;
    if (answer.kind !== 'notDelivered') {
      record.mayHaveRun = true;
    }
    if (answer.kind === 'unknown') {
      record.deliverableUntilMs = nowMs + context.settings.owner.orderDeliveryMs;
    }
    record.nextAttemptMs = nowMs + Math.min(longestRetryMs, firstRetryMs * 2 ** (record.attempts - 1));
    context.timeline.record({
      part: 'owner',
      event: 'orderAnswered',
      model: EngineClient.modelName(order),
      replica: order.replica,
      offset: order.order,
      detail: { action: order.action, answer: answer.kind, attempts: record.attempts },
    });
    this._progressed(order);
  }

  /** Reports the result, once no broken attempt can be delivered any more. */
  private _settle(order: decisions.OrderEntry, record: SendRecord, nowMs: number): void {
    if (nowMs < record.deliverableUntilMs) {
      return;
    }
    const result = record.mayHaveRun ? 'sent' : 'notSent';
    void this._reports.append({ kind: 'orderSettled', order: order.order, result }).then((accepted) => {
      if (accepted) {
        this._progressed(order);
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

  private _recordOf(order: decisions.OrderId): SendRecord {
    let record = this._records.get(order);
    if (record === undefined) {
      record = {
        attempts: 0,
        sending: false,
        deliverableUntilMs: -Infinity,
        mayHaveRun: false,
        nextAttemptMs: -Infinity,
        answer: undefined,
      };
      this._records.set(order, record);
    }
    return record;
  }
}

/** Whether the replica or adapter of an order still needs it. */
export function isDue(state: decisions.ControlState, order: decisions.OrderEntry): boolean {
  const replica = state.replicas.get(order.replica);
  const subject = order.adapter === undefined ? replica : replica?.adapters.get(order.adapter);
  const loads = order.action === 'load' || order.action === 'adapterLoad';
  return subject?.state === (loads ? 'loading' : 'unloading');
}
