import type * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { EngineClient, OrderAnswer } from '../contracts/EngineClient.js';
import { pause } from '../pause.js';
import type { Instant } from '../Types.js';
import type { TrackedReplica } from './TrackedReplica.js';
import type { PlannedOrder } from './Types.js';

/** Pause between two looks at a replica whose order is not done yet, milliseconds. */
export const pollMs = 200;
/** Pause between two tries of an order that follows an unload, milliseconds. */
const unloadPollMs = 60;
/** An unload waits for running requests; after this time the replica's state is read instead, milliseconds. */
const unloadTimeoutMs = 3_000;
/** Pause after an order without answer before it is sent again, milliseconds. */
const resendDelayMs = 50;
/** Longest time that an order may take beyond its expected end before its replica's state is read anew. */
const orderGraceMs = 30_000;

/** What became of an order. `notSent`: it was given up before any byte went out, or this daemon no longer leads. */
export type SendResult = OrderAnswer | 'notSent';

/** Sends orders to replicas and waits for their ends. */
export class OrderSender {
  public constructor(
    private readonly _self: string,
    private readonly _engines: EngineClient,
    /** Fencing token, if orders may be sent at a moment. */
    private readonly _orderToken: (now: Instant) => number | undefined,
    /** True while a book is the one that this daemon leads by. */
    private readonly _isCurrent: (tracked: TrackedReplica) => boolean,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {}

  /** Sends an order; repeats it shortly while the unload before it goes on. */
  public async sendWithRetries(tracked: TrackedReplica, order: PlannedOrder): Promise<SendResult> {
    const untilMs = this._clock.now().steadyMs + (order.afterUnload ? unloadTimeoutMs : 0);
    for (;;) {
      const answer = await this._send(tracked, order);
      if (answer !== 'conflict' || this._clock.now().steadyMs >= untilMs) {
        return answer;
      }
      await pause(unloadPollMs);
    }
  }

  /**
   * Sends an order until it has an answer. A lost order may be carried out seconds later; the same order with the same
   * expected sequence either replaces it or is refused, so that the two never both take effect.
   */
  private async _send(tracked: TrackedReplica, order: PlannedOrder): Promise<SendResult> {
    while (this._isCurrent(tracked)) {
      const fencingToken = this._orderToken(this._clock.now());
      if (fencingToken === undefined || tracked.sequence === undefined) {
        return 'notSent';
      }
      const { kind, model, adapter } = order;
      const outcome = await this._engines.sendOrder(
        tracked.replica,
        {
          kind,
          model,
          ...(adapter !== undefined && { adapter }),
          expectedSequence: tracked.sequence,
          holder: this._self,
          fencingToken,
        },
        () => this._orderToken(this._clock.now()) === fencingToken,
      );
      if (outcome.ok) {
        // The unload of an idle adapter is answered as done, and counts as an order all the same.
        const isAdapterUnloaded = outcome.value === 'alreadyHolds' && adapter !== undefined && kind === 'unload';
        tracked.sequence += outcome.value === 'accepted' || isAdapterUnloaded ? 1 : 0;
        return outcome.value;
      }
      this._log.warn('An order has no answer.', {
        replica: tracked.replica.id,
        model,
        reason: outcome.failure.message,
      });
      if (!outcome.failure.mayHaveArrived) {
        return 'notSent';
      }
      await pause(resendDelayMs);
    }
    return 'notSent';
  }

  /** `onLate` is called again and again while the order takes longer than expected. */
  public async awaitCompletion(
    tracked: TrackedReplica,
    order: PlannedOrder,
    expectedMs: number,
    onLate: () => void,
  ): Promise<void> {
    const { steadyMs } = this._clock.now();
    const isLocal = order.adapter !== undefined || order.kind === 'unload' || order.tier !== 'store';
    await pause(expectedMs);
    if (!isLocal) {
      await this._pollUntilDone(tracked, order, steadyMs + expectedMs + orderGraceMs, onLate);
    }
    tracked.finish(order, this._clock.now().steadyMs);
  }

  private async _pollUntilDone(
    tracked: TrackedReplica,
    order: PlannedOrder,
    untilMs: number,
    onLate: () => void,
  ): Promise<void> {
    while (this._isCurrent(tracked) && this._clock.now().steadyMs < untilMs) {
      const outcome = await this._engines.readReport(tracked.replica);
      const isDone =
        outcome.ok &&
        !outcome.value.orderInProgress &&
        outcome.value.orderSequence >= (tracked.sequence ?? 0) &&
        outcome.value.models.some((held) => held.name === order.model) === (order.kind === 'load');
      if (isDone) {
        return;
      }
      onLate();
      await pause(pollMs);
    }
  }
}
