import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { DaemonContext, OwnerClient, WakeAnswer, WakeFailure } from '../Types.js';
import { notExecuted } from './callerErrors.js';
import type { CallerError, ResolvedModel, WaitingRequest } from './Types.js';
import { isCoveredBy, WaitingQueue, type SentWake } from './WaitingQueue.js';

/** Interval between wakes of one model while requests wait, milliseconds. */
const wakeIntervalMs = 1_000;
/** Polling interval for targets that became usable without a record of the control topic, milliseconds. */
const checkIntervalMs = 100;
/** Time without a response after which a wake is sent again, milliseconds. */
const wakeTimeoutMs = 5_000;
/** Number of lease durations without an owner after which the waiting requests are refused. */
const ownerlessLeases = 2;
/** Wait limit of requests while all targets fail, milliseconds: slightly longer than one probe of each. */
const failingWaitLimitMs = 2_500;
/** Mailbox capacity for messages other than arrivals. */
const spareMailboxCapacity = 512;

/** Messages of the waiting room. */
export type WaitingRoomMessage =
  | { readonly kind: 'enter'; readonly waitingRequest: WaitingRequest }
  | { readonly kind: 'leave'; readonly waitingRequest: WaitingRequest }
  | {
      readonly kind: 'answered';
      readonly queue: WaitingQueue;
      readonly sentWake: SentWake;
      readonly outcome: WakeOutcome;
    }
  | { readonly kind: 'stateChanged'; readonly ownerChanged: boolean }
  | { readonly kind: 'check' };

type WakeOutcome = common.Outcome<WakeAnswer, WakeFailure>;

/** Dependencies of the waiting room. */
export interface WaitingRoomDependencies {
  readonly client: OwnerClient;
  readonly isRoutable: (model: ResolvedModel, nowMs: number) => boolean;
  /** Time of the next probe if all targets have failed their last probe, otherwise undefined. */
  readonly failingUntilMs: (model: ResolvedModel, nowMs: number) => number | undefined;
  /** Whether this version of the model is still configured. */
  readonly isCurrent: (model: ResolvedModel) => boolean;
}

/**
 * Queues requests for which no target is usable. Sends one wake per model for all of them, repeated while they wait.
 * Releases them as soon as a target is usable, or refuses them as soon as it is known that they cannot be served.
 */
export class WaitingRoom extends common.Task<WaitingRoomMessage> {
  private readonly _queues = new Map<string, WaitingQueue>();

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _dependencies: WaitingRoomDependencies,
  ) {
    super(_context.settings.limits.maximumWaitingRequests + spareMailboxCapacity);
    this.postEvery(checkIntervalMs, () => ({ kind: 'check' }));
  }

  /** Adds a request. Its `settle` is called once, unless `leave` is called first. */
  public enter(waitingRequest: WaitingRequest): void {
    if (!this.post({ kind: 'enter', waitingRequest })) {
      const error = notExecuted(503, 'overloaded', 'too many requests arrive at once', wakeIntervalMs);
      waitingRequest.settle({ kind: 'refused', error });
    }
  }

  /** Removes a request whose caller disconnected or whose deadline has passed. */
  public leave(waitingRequest: WaitingRequest): void {
    this.post({ kind: 'leave', waitingRequest });
  }

  /** Notifies the waiting room that the replayed state has changed. */
  public notifyStateChange(ownerChanged: boolean): void {
    this.post({ kind: 'stateChanged', ownerChanged });
  }

  /** Queues with waiting requests. */
  public get queues(): readonly WaitingQueue[] {
    return [...this._queues.values()].filter((queue) => queue.requests.length > 0);
  }

  protected override handle(message: WaitingRoomMessage): void {
    switch (message.kind) {
      case 'enter':
        this._enter(message.waitingRequest);
        break;
      case 'leave':
        this._queues.get(message.waitingRequest.queue)?.remove(message.waitingRequest.request);
        break;
      case 'answered':
        this._handleWakeOutcome(message.queue, message.sentWake, message.outcome);
        break;
      case 'stateChanged':
        this._check(message.ownerChanged);
        break;
      case 'check':
        this._check(false);
        break;
    }
  }

  private _enter(waitingRequest: WaitingRequest): void {
    const nowMs = this._context.now();
    if (this._dependencies.isRoutable(waitingRequest.model, nowMs)) {
      waitingRequest.settle({ kind: 'released' });
      return;
    }
    const queue = this._queues.get(waitingRequest.queue) ?? new WaitingQueue(waitingRequest.model);
    const decision = decisions.admitRequest(
      waitingRequest,
      this._admissionView(queue, waitingRequest),
      this._limits(queue),
      queue.expectedReadyMs,
      nowMs,
    );
    if (decision.kind === 'refused') {
      const error = notExecuted(503, decision.type, refusalMessages[decision.type], decision.retryAfterMs);
      waitingRequest.settle({ kind: 'refused', error });
      return;
    }
    if (decision.kind === 'admittedInstead') {
      this._shed(decision.shed);
    }
    this._queues.set(waitingRequest.queue, queue);
    queue.add(waitingRequest);
    const isMoreUrgent =
      waitingRequest.urgency === 'interactive' &&
      queue.requests.every((other) => other === waitingRequest || other.urgency === 'batch');
    if (queue.requests.length === 1 || isMoreUrgent) {
      this._wake(queue, nowMs);
    }
  }

  private _shed(requestToShed: decisions.WaitingRequest): void {
    const error = notExecuted(503, 'shed', 'refused in favour of interactive requests', wakeIntervalMs);
    this._queues
      .get(requestToShed.queue)
      ?.refuse((waitingRequest) => waitingRequest.request === requestToShed.request, error);
  }

  private _wake(queue: WaitingQueue, nowMs: number): void {
    if (queue.outstandingWake && nowMs - queue.outstandingWake.sentMs < wakeTimeoutMs) {
      return;
    }
    const { request, sentWake } = queue.createWake(nowMs);
    queue.outstandingWake = sentWake;
    queue.lastSentMs = nowMs;
    this._dependencies.client.wake(request).then(
      (outcome) => {
        this.post({ kind: 'answered', queue, sentWake, outcome });
      },
      (error: unknown) => {
        const failure = { kind: 'noOwner', message: String(error), retryAfterMs: wakeIntervalMs } as const;
        this.post({ kind: 'answered', queue, sentWake, outcome: common.fail(failure) });
      },
    );
  }

  private _handleWakeOutcome(queue: WaitingQueue, sentWake: SentWake, outcome: WakeOutcome): void {
    if (queue.outstandingWake === sentWake) {
      queue.outstandingWake = undefined;
    }
    const nowMs = this._context.now();
    this._recordWakeOutcome(queue, sentWake, outcome, nowMs);
    if (outcome.ok) {
      queue.ownerlessSinceMs = undefined;
      this._handleOwnerResponse(queue, sentWake, outcome.value, nowMs);
    } else {
      this._handleWakeFailure(queue, outcome.failure, nowMs);
    }
    this._removeIfEmpty(queue);
  }

  private _handleOwnerResponse(queue: WaitingQueue, sentWake: SentWake, response: WakeAnswer, nowMs: number): void {
    if (response.kind === 'expected') {
      this._setExpectedReady(queue, sentWake, nowMs + response.readyInMs, nowMs);
      return;
    }
    const { type, message, retryAfterMs } = response;
    queue.refuse(
      (waitingRequest) => isCoveredBy(waitingRequest, sentWake),
      notExecuted(503, type, message, retryAfterMs),
    );
    if (queue.requests.length > 0) {
      this._wake(queue, nowMs);
    }
  }

  private _setExpectedReady(queue: WaitingQueue, sentWake: SentWake, expectedReadyMs: number, nowMs: number): void {
    queue.expectedReadyMs = expectedReadyMs;
    const error = notExecuted(
      503,
      'deadline_unreachable',
      refusalMessages.deadline_unreachable,
      Math.max(0, expectedReadyMs - nowMs),
    );
    queue.refuse((waitingRequest) => decisions.missesDeadline(waitingRequest, expectedReadyMs, nowMs), error);
    // An interactive request that was added to batch requests must be sent to the owner with its own urgency.
    if (sentWake.urgency === 'batch' && queue.requests.some(({ urgency }) => urgency === 'interactive')) {
      this._wake(queue, nowMs);
    }
  }

  private _handleWakeFailure(queue: WaitingQueue, failure: WakeFailure, nowMs: number): void {
    const error = notExecuted(
      503,
      failure.kind === 'noOwner' ? 'no_owner' : 'log_unavailable',
      failure.message,
      failure.retryAfterMs,
    );
    // A successor claims the cell soon after the lease expires; requests do not wait longer than that.
    queue.ownerlessSinceMs ??= nowMs;
    const waitLimitMs = ownerlessLeases * this._context.settings.owner.leaseMs;
    // No model can be loaded while the log is unavailable.
    const refusesAll = failure.kind === 'logUnavailable' || nowMs - queue.ownerlessSinceMs >= waitLimitMs;
    queue.refuse((waitingRequest) => refusesAll || waitingRequest.deadlineMs - nowMs <= failure.retryAfterMs, error);
  }

  /** The error while every target of a model fails: otherwise requests would wait until their deadlines. */
  private _failingError(model: ResolvedModel, nowMs: number): CallerError | undefined {
    const untilMs = this._dependencies.failingUntilMs(model, nowMs);
    return untilMs === undefined
      ? undefined
      : notExecuted(503, 'targets_failing', refusalMessages.targets_failing, Math.max(0, untilMs - nowMs));
  }

  private _check(ownerChanged: boolean): void {
    const nowMs = this._context.now();
    for (const queue of this._queues.values()) {
      const failingError = this._failingError(queue.model, nowMs);
      if (failingError) {
        queue.refuse((waitingRequest) => nowMs - waitingRequest.arrivedMs >= failingWaitLimitMs, failingError);
      }
      if (!this._dependencies.isCurrent(queue.model) || this._dependencies.isRoutable(queue.model, nowMs)) {
        for (const waitingRequest of queue.takeAll()) {
          waitingRequest.settle({ kind: 'released' });
        }
      } else if (queue.requests.length > 0 && (ownerChanged || nowMs - queue.lastSentMs >= wakeIntervalMs)) {
        if (ownerChanged) {
          queue.outstandingWake = undefined;
        }
        this._wake(queue, nowMs);
      }
      this._removeIfEmpty(queue);
    }
  }

  private _removeIfEmpty(queue: WaitingQueue): void {
    if (queue.requests.length === 0 && this._queues.get(queue.model.queue) === queue) {
      this._queues.delete(queue.model.queue);
    }
  }

  private _limits(queue: WaitingQueue): decisions.WaitingRoomLimits {
    const { limits, partners } = this._context.settings;
    return { maximumWaiting: limits.maximumWaitingRequests, queueLimit: queue.model.settings.queueLimit, partners };
  }

  private _admissionView(queue: WaitingQueue, waitingRequest: WaitingRequest): decisions.WaitingRoomView {
    const byPartner = new Map<common.PartnerName, number>();
    let total = 0;
    let newestBatchOfPartner: WaitingRequest | undefined;
    for (const other of this._queues.values()) {
      const { partner } = other.model.settings;
      total += other.requests.length;
      byPartner.set(partner, (byPartner.get(partner) ?? 0) + other.requests.length);
      const newest =
        partner === waitingRequest.partner ? other.requests.findLast(({ urgency }) => urgency === 'batch') : undefined;
      if (newest && newest.arrivedMs >= (newestBatchOfPartner?.arrivedMs ?? -Infinity)) {
        newestBatchOfPartner = newest;
      }
    }
    return { total, byPartner, queue: queue.requests, newestBatchOfPartner: newestBatchOfPartner };
  }

  private _recordWakeOutcome(queue: WaitingQueue, sentWake: SentWake, outcome: WakeOutcome, nowMs: number): void {
    const value = outcome.ok ? outcome.value : outcome.failure;
    this._context.timeline.record({
      part: 'waitingRoom',
      event: 'wakeAnswered',
      model: queue.model.queue,
      detail: {
        answer: value.kind,
        waiting: queue.requests.length,
        tookMs: Math.round(nowMs - sentWake.sentMs),
        ...('readyInMs' in value ? { readyInMs: value.readyInMs } : { reason: value.message }),
      },
    });
  }
}

const refusalMessages = {
  deadline_unreachable: 'no replica of the model is expected to be ready before the deadline',
  queue_full: 'the waiting queue of the model is full',
  partner_queue_full: 'the waiting queue of the partner is full',
  targets_failing: 'every target of the model fails; requests are tried again one at a time',
} as const;
