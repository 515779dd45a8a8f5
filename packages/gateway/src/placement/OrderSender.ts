import type * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { EngineClient, OrderResponse } from '../contracts/EngineClient.js';
import { pause } from '../pause.js';
import type { Instant } from '../Types.js';
import type { TrackedReplica } from './TrackedReplica.js';
import type { PlannedOrder } from './Types.js';

/** Interval at which a replica with an order in progress is polled, milliseconds. */
export const pollMs = 200;
/** Pause between attempts to send an order that follows an unload, milliseconds. */
const unloadPollMs = 60;
/**
 * Time for which an order is retried while the unload before it waits for running requests, milliseconds. After that
 * the replica's state is read.
 */
const unloadTimeoutMs = 3_000;
/** Pause before an order without an answer is sent again, milliseconds. */
const resendDelayMs = 50;
/** Time after the expected end of an order at which polling stops and the order counts as completed, milliseconds. */
const orderGraceMs = 30_000;

/** Result of an order. `notSent`: it was abandoned before any byte was sent, or this daemon is no longer the leader. */
export type SendResult = OrderResponse | 'notSent';

/** Sends orders to replicas and waits for their completion. */
export class OrderSender {
  public constructor(
    private readonly _self: string,
    private readonly _engines: EngineClient,
    /** Fencing token; undefined if no orders may be sent at the given time. */
    private readonly _orderToken: (now: Instant) => number | undefined,
    /** True while this daemon is the leader and still tracks this instance of the replica. */
    private readonly _isCurrent: (tracked: TrackedReplica) => boolean,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {}

  /** Sends an order; retries it for a limited time while the unload before it is in progress. */
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
   * Sends an order until it is answered. An unanswered order may be executed seconds later; resending it with the same
   * expected sequence ensures that at most one of the two takes effect.
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
        // The unload of an idle adapter is answered with alreadyHolds, yet it advances the replica's sequence.
        const isAdapterUnloaded = outcome.value === 'alreadyHolds' && adapter !== undefined && kind === 'unload';
        tracked.sequence += outcome.value === 'accepted' || isAdapterUnloaded ? 1 : 0;
        return outcome.value;
      }
      this._log.warn('No answer to an order.', {
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

  /** Waits until an order is completed. `onLate` is called at each poll once the order takes longer than expected. */
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
