import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { DaemonContext, OwnerClient, WakeAnswer, WakeFailure } from '../Types.js';
import { notRun } from './refusals.js';
import type { CallerError, ResolvedModel, Waiter } from './Types.js';
import { isCoveredBy, WaitingQueue, type AskedWake } from './WaitingQueue.js';

/** Interval between wakes of one model while requests wait, milliseconds. */
const wakeIntervalMs = 1_000;
/** Interval of checks for targets that became usable without a record, milliseconds. */
const checkIntervalMs = 100;
/** Age at which an unanswered wake is given up and sent again, milliseconds. */
const wakeLostMs = 5_000;
/** Lease times without an owner after which the waiting requests are refused. */
const ownerlessLeases = 2;
/** A request waits this long for targets that all fail: a little more than one probe of each. */
const failingPatienceMs = 2_500;
/** Messages besides arrivals that the mailbox must hold. */
const spareMailboxCapacity = 512;

/** Messages of the waiting room. */
export type WaitingRoomMessage =
  | { readonly kind: 'enter'; readonly waiter: Waiter }
  | { readonly kind: 'leave'; readonly waiter: Waiter }
  | { readonly kind: 'answered'; readonly queue: WaitingQueue; readonly asked: AskedWake; readonly answer: Answer }
  | { readonly kind: 'stateChanged'; readonly ownerChanged: boolean }
  | { readonly kind: 'check' };

type Answer = common.Outcome<WakeAnswer, WakeFailure>;

/** What the waiting room needs to know about routing. */
export interface WaitingRoomParts {
  readonly client: OwnerClient;
  readonly isRoutable: (model: ResolvedModel, nowMs: number) => boolean;
  /** When targets that all fail are tried again; undefined unless all of them fail their probes. */
  readonly failingUntilMs: (model: ResolvedModel, nowMs: number) => number | undefined;
  /** False once the configuration wants another version. */
  readonly isCurrent: (model: ResolvedModel) => boolean;
}

/**
 * Holds requests for which no target is usable. Sends one wake per model for all of them, repeats it while they wait,
 * and releases them as soon as a target is usable or refuses them as soon as it is known that they cannot be served.
 */
export class WaitingRoom extends common.Task<WaitingRoomMessage> {
  private readonly _queues = new Map<string, WaitingQueue>();

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _parts: WaitingRoomParts,
  ) {
    super(_context.settings.limits.maximumWaitingRequests + spareMailboxCapacity);
    this.postEvery(checkIntervalMs, () => ({ kind: 'check' }));
  }

  /** Lets a request wait. Its `settle` is called once, unless it leaves first. */
  public enter(waiter: Waiter): void {
    if (!this.post({ kind: 'enter', waiter })) {
      const error = notRun(503, 'overloaded', 'too many requests arrive at once', wakeIntervalMs);
      waiter.settle({ kind: 'refused', error });
    }
  }

  /** Takes a request out whose caller is gone or whose deadline has passed. */
  public leave(waiter: Waiter): void {
    this.post({ kind: 'leave', waiter });
  }

  /** Tells that the replayed state has changed. */
  public stateChanged(ownerChanged: boolean): void {
    this.post({ kind: 'stateChanged', ownerChanged });
  }

  /** Queues with waiting requests. */
  public get queues(): readonly WaitingQueue[] {
    return [...this._queues.values()].filter((queue) => queue.waiters.length > 0);
  }

  protected override handle(message: WaitingRoomMessage): void {
    switch (message.kind) {
      case 'enter':
        this._enter(message.waiter);
        break;
      case 'leave':
        this._queues.get(message.waiter.queue)?.remove(message.waiter.request);
        break;
      case 'answered':
        this._answered(message.queue, message.asked, message.answer);
        break;
      case 'stateChanged':
        this._check(message.ownerChanged);
        break;
      case 'check':
        this._check(false);
        break;
    }
  }

  private _enter(waiter: Waiter): void {
    const nowMs = this._context.now();
    if (this._parts.isRoutable(waiter.model, nowMs)) {
      waiter.settle({ kind: 'released' });
      return;
    }
    const queue = this._queues.get(waiter.queue) ?? new WaitingQueue(waiter.model);
    const decision = decisions.admitRequest(
      waiter,
      this._view(queue, waiter),
      this._limits(queue),
      queue.expectedReadyMs,
      nowMs,
    );
    if (decision.kind === 'refused') {
      const error = notRun(503, decision.type, refusalMessages[decision.type], decision.retryAfterMs);
      waiter.settle({ kind: 'refused', error });
      return;
    }
    if (decision.kind === 'admittedInstead') {
      this._shed(decision.shed);
    }
    this._queues.set(waiter.queue, queue);
    queue.add(waiter);
    const isMoreUrgent =
      waiter.urgency === 'interactive' && queue.waiters.every((other) => other === waiter || other.urgency === 'batch');
    if (queue.waiters.length === 1 || isMoreUrgent) {
      this._wake(queue, nowMs);
    }
  }

  private _shed(victim: decisions.WaitingRequest): void {
    const error = notRun(503, 'shed', 'refused in favour of interactive requests', wakeIntervalMs);
    this._queues.get(victim.queue)?.refuse((waiter) => waiter.request === victim.request, error);
  }

  private _wake(queue: WaitingQueue, nowMs: number): void {
    if (queue.asked && nowMs - queue.asked.askedMs < wakeLostMs) {
      return;
    }
    const { request, asked } = queue.wakeRequest(nowMs);
    queue.asked = asked;
    queue.lastAskedMs = nowMs;
    this._parts.client.wake(request).then(
      (answer) => {
        this.post({ kind: 'answered', queue, asked, answer });
      },
      (error: unknown) => {
        const failure = { kind: 'noOwner', message: String(error), retryAfterMs: wakeIntervalMs } as const;
        this.post({ kind: 'answered', queue, asked, answer: common.fail(failure) });
      },
    );
  }

  private _answered(queue: WaitingQueue, asked: AskedWake, answer: Answer): void {
    if (queue.asked === asked) {
      queue.asked = undefined;
    }
    const nowMs = this._context.now();
    this._recordAnswer(queue, asked, answer, nowMs);
    if (answer.ok) {
      queue.ownerlessSinceMs = undefined;
      this._ownerAnswered(queue, asked, answer.value, nowMs);
    } else {
      this._wakeFailed(queue, answer.failure, nowMs);
    }
    this._forgetIfEmpty(queue);
  }

  private _ownerAnswered(queue: WaitingQueue, asked: AskedWake, answer: WakeAnswer, nowMs: number): void {
    if (answer.kind === 'expected') {
      this._expect(queue, asked, nowMs + answer.readyInMs, nowMs);
      return;
    }
    const { type, message, retryAfterMs } = answer;
    queue.refuse((waiter) => isCoveredBy(waiter, asked), notRun(503, type, message, retryAfterMs));
    if (queue.waiters.length > 0) {
      this._wake(queue, nowMs);
    }
  }

  private _expect(queue: WaitingQueue, asked: AskedWake, expectedReadyMs: number, nowMs: number): void {
    queue.expectedReadyMs = expectedReadyMs;
    const error = notRun(
      503,
      'deadline_unreachable',
      refusalMessages.deadline_unreachable,
      Math.max(0, expectedReadyMs - nowMs),
    );
    queue.refuse((waiter) => decisions.missesDeadline(waiter, expectedReadyMs, nowMs), error);
    // An interactive request that joined batch ones must reach the owner with its own urgency.
    if (asked.urgency === 'batch' && queue.waiters.some(({ urgency }) => urgency === 'interactive')) {
      this._wake(queue, nowMs);
    }
  }

  private _wakeFailed(queue: WaitingQueue, failure: WakeFailure, nowMs: number): void {
    const error = notRun(
      503,
      failure.kind === 'noOwner' ? 'no_owner' : 'log_unavailable',
      failure.message,
      failure.retryAfterMs,
    );
    // A successor claims the cell soon after the lease; one that does not come by then is not waited for.
    queue.ownerlessSinceMs ??= nowMs;
    const patienceMs = ownerlessLeases * this._context.settings.owner.leaseMs;
    // Without the log nothing can be loaded.
    const givesUp = failure.kind === 'logUnavailable' || nowMs - queue.ownerlessSinceMs >= patienceMs;
    queue.refuse((waiter) => givesUp || waiter.deadlineMs - nowMs <= failure.retryAfterMs, error);
  }

  /** The refusal while every target of a model fails: waiting requests would end at their deadlines. */
  private _failing(model: ResolvedModel, nowMs: number): CallerError | undefined {
    const untilMs = this._parts.failingUntilMs(model, nowMs);
    return untilMs === undefined
      ? undefined
      : notRun(503, 'targets_failing', refusalMessages.targets_failing, Math.max(0, untilMs - nowMs));
  }

  private _check(ownerChanged: boolean): void {
    const nowMs = this._context.now();
    for (const queue of this._queues.values()) {
      const failing = this._failing(queue.model, nowMs);
      if (failing) {
        queue.refuse((waiter) => nowMs - waiter.arrivedMs >= failingPatienceMs, failing);
      }
      if (!this._parts.isCurrent(queue.model) || this._parts.isRoutable(queue.model, nowMs)) {
        for (const waiter of queue.takeAll()) {
          waiter.settle({ kind: 'released' });
        }
      } else if (queue.waiters.length > 0 && (ownerChanged || nowMs - queue.lastAskedMs >= wakeIntervalMs)) {
        if (ownerChanged) {
          queue.asked = undefined;
        }
        this._wake(queue, nowMs);
      }
      this._forgetIfEmpty(queue);
    }
  }

  private _forgetIfEmpty(queue: WaitingQueue): void {
    if (queue.waiters.length === 0 && this._queues.get(queue.model.queue) === queue) {
      this._queues.delete(queue.model.queue);
    }
  }

  private _limits(queue: WaitingQueue): decisions.WaitingRoomLimits {
    const { limits, partners } = this._context.settings;
    return { maximumWaiting: limits.maximumWaitingRequests, queueLimit: queue.model.settings.queueLimit, partners };
  }

  private _view(queue: WaitingQueue, waiter: Waiter): decisions.WaitingRoomView {
    const byPartner = new Map<common.PartnerName, number>();
    let total = 0;
    let youngestBatchOfPartner: Waiter | undefined;
    for (const other of this._queues.values()) {
      const { partner } = other.model.settings;
      total += other.waiters.length;
      byPartner.set(partner, (byPartner.get(partner) ?? 0) + other.waiters.length);
      const youngest =
        partner === waiter.partner ? other.waiters.findLast(({ urgency }) => urgency === 'batch') : undefined;
      if (youngest && youngest.arrivedMs >= (youngestBatchOfPartner?.arrivedMs ?? -Infinity)) {
        youngestBatchOfPartner = youngest;
      }
    }
    return { total, byPartner, queue: queue.waiters, newestBatchOfPartner: youngestBatchOfPartner };
  }

  private _recordAnswer(queue: WaitingQueue, asked: AskedWake, answer: Answer, nowMs: number): void {
    const value = answer.ok ? answer.value : answer.failure;
    this._context.timeline.record({
      part: 'waitingRoom',
      event: 'wakeAnswered',
      model: queue.model.queue,
      detail: {
        answer: value.kind,
        waiting: queue.waiters.length,
        tookMs: Math.round(nowMs - asked.askedMs),
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
