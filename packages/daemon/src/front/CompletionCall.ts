import type * as http from 'node:http';
import type * as common from '@jayhaven/common';
import type { AttemptWatch } from '../routing/AttemptWatch.js';
import { EngineAttempt } from '../routing/EngineAttempt.js';
import type { ModelCatalog } from '../routing/ModelCatalog.js';
import { notExecuted } from '../routing/callerErrors.js';
import type { RetryBudget } from '../routing/RetryBudget.js';
import type { Router } from '../routing/Router.js';
import type {
  AttemptEnd,
  CallerError,
  ResolvedModel,
  TargetLease,
  WaitingRequest,
  WaitOutcome,
} from '../routing/Types.js';
import type { UsageReporter } from '../routing/UsageReporter.js';
import type { WaitingRoom } from '../routing/WaitingRoom.js';
import type { DaemonContext } from '../Types.js';
import { CallerResponse } from './CallerResponse.js';
import { engineBody, type CompletionKind } from './completionBody.js';
import type { FrontMetrics } from './FrontMetrics.js';
import type { CallerRequest, CompletionBody } from './Types.js';

/** Failed attempts after which a request fails, regardless of the retry budget and the deadline. */
const maximumFailedAttempts = 4;
/** Delay before a failed target is retried when there is no other target, milliseconds. */
const sameTargetDelayMs = 50;
/** Pause for a target that does not have the model, milliseconds. Replay of the control topic catches up sooner. */
const notLoadedPauseMs = 500;
/** Closed keep-alive connections that one request may meet before this counts as a failure of the target. */
const maximumStaleConnections = 3;
/** Longest pause for an overloaded target, milliseconds. */
const overloadedPauseMs = 500;

/** Dependencies shared by all completion calls. */
export interface CompletionDependencies {
  readonly context: DaemonContext;
  readonly catalog: ModelCatalog;
  readonly router: Router;
  readonly waitingRoom: WaitingRoom;
  readonly agent: http.Agent;
  readonly watch: AttemptWatch;
  readonly retries: RetryBudget;
  readonly usage: UsageReporter;
  readonly metrics: FrontMetrics;
}

/** Handles one completion request of a caller, from its parsed body to the end of the response. */
export class CompletionCall {
  private readonly _response: CallerResponse;
  private readonly _excluded = new Set<common.TargetAddress>();
  private _urgency: common.Urgency = 'interactive';
  private _deadlineMs = 0;
  private _attempts = 0;
  private _failures = 0;
  private _nextIndex = 0;
  private _resumes = 0;
  private _staleConnections = 0;
  private _executed: common.Executed = 'no';
  private _attempt: EngineAttempt | undefined;
  private _endWait: () => void = () => undefined;
  /** Name of the model in the timeline, once it is known. */
  private _modelName: string | undefined;

  public constructor(
    private readonly _dependencies: CompletionDependencies,
    private readonly _request: CallerRequest,
    private readonly _kind: CompletionKind,
    private readonly _body: CompletionBody,
  ) {
    this._response = new CallerResponse(_dependencies.context, _request, {
      model: () => this._modelName,
      executed: () => this._executedSoFar(),
      onDrain: () => this._attempt?.resume(),
      onEnded: () => {
        this._attempt?.cancel();
        this._endWait();
      },
    });
  }

  /** Runs the request. Resolves with the outcome once the response is written or the caller has disconnected. */
  public async run(): Promise<string> {
    const model = this._resolve();
    if (!model) {
      this._response.fail(
        notExecuted(404, 'model_not_found', `model ${JSON.stringify(this._body.model)} is not configured`),
      );
      return this._response.closed;
    }
    this._modelName = model.queue;
    const { settings, retries, usage } = { settings: model.settings, ...this._dependencies };
    this._urgency = this._request.urgency ?? settings.urgency;
    this._deadlineMs = this._response.setDeadline(this._request.deadlineMs ?? settings.deadlineMs);
    this._record('accepted', model, { urgency: this._urgency, stream: this._body.stream });
    retries.countRequest();
    const countEnd = usage.countArrival(model);
    try {
      await this._serve();
      return await this._response.closed;
    } finally {
      countEnd();
    }
  }

  private async _serve(): Promise<void> {
    while (!this._response.ended) {
      // Resolved again each time, because the configured version may have changed while the request waited.
      const model = this._resolve();
      if (!model) {
        this._response.fail(notExecuted(404, 'model_not_found', 'the model was removed from the configuration'));
        return;
      }
      const nowMs = this._dependencies.context.now();
      const lease = this._dependencies.router.choose(model, this._body.promptPrefix, this._excluded, nowMs);
      if (lease) {
        await this._dispatch(model, lease);
      } else if (this._excluded.size > 0) {
        this._excluded.clear();
        await this._pause(sameTargetDelayMs);
      } else {
        await this._wait(model, nowMs);
      }
    }
  }

  private _resolve(): ResolvedModel | undefined {
    return this._dependencies.catalog.resolve(this._request.caller.partner, this._body.model);
  }

  private async _wait(model: ResolvedModel, nowMs: number): Promise<void> {
    this._record('waiting', model, {});
    let waitingRequest: WaitingRequest | undefined;
    const outcome = await new Promise<WaitOutcome>((resolve) => {
      waitingRequest = {
        request: this._request.requestKey,
        partner: model.settings.partner,
        queue: model.queue,
        urgency: this._urgency,
        arrivedMs: this._request.arrivedMs,
        deadlineMs: this._deadlineMs,
        model,
        settle: resolve,
      };
      this._endWait = () => {
        resolve({ kind: 'released' });
      };
      this._dependencies.waitingRoom.enter(waitingRequest);
    });
    if (this._response.ended && waitingRequest) {
      this._dependencies.waitingRoom.leave(waitingRequest);
    } else if (outcome.kind === 'refused') {
      this._response.fail({ ...outcome.error, executed: this._executed });
    } else {
      this._record('released', model, { waitedMs: Math.round(this._dependencies.context.now() - nowMs) });
    }
  }

  private async _pause(pauseMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      this._endWait = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private async _dispatch(model: ResolvedModel, lease: TargetLease): Promise<void> {
    this._attempts += 1;
    const attempt = new EngineAttempt(
      {
        target: lease.target,
        path: this._kind === 'chat' ? '/v1/chat/completions' : '/v1/completions',
        body: engineBody(this._body, model.engineName, this._nextIndex),
        urgency: this._urgency,
        engineRequestId: `${this._request.requestKey}-${this._attempts}`,
        callerRequestId: this._request.requestId,
        stream: this._body.stream,
        resumeFrom: this._nextIndex,
        write: (text) => this._response.writeEvents(text),
      },
      this._dependencies.agent,
      this._dependencies.context.now,
    );
    this._attempt = attempt;
    const event = this._nextIndex > 0 ? 'resumed' : this._attempts > 1 ? 'retried' : 'dispatched';
    this._record(event, model, { target: lease.target, attempt: this._attempts, from: this._nextIndex }, lease.replica);
    const unwatch = this._dependencies.watch.watch(attempt, lease.target, lease.vm);
    const end = await attempt.run();
    unwatch();
    this._attempt = undefined;
    this._nextIndex = attempt.nextIndex;
    this._executed = mergeExecuted(this._executed, attempt.executed);
    this._handleEnd(model, lease, end);
  }

  private _handleEnd(model: ResolvedModel, lease: TargetLease, end: AttemptEnd): void {
    const { context, router, metrics } = this._dependencies;
    const nowMs = context.now();
    lease.finish(leaseResultByEnd[end.kind], nowMs);
    switch (end.kind) {
      case 'complete':
        this._complete(end.body);
        break;
      case 'rejected':
        this._response.fail(notExecuted(end.status, 'invalid_request', end.message));
        break;
      case 'notRun': {
        const pauseMs = end.type === 'overloaded' ? Math.min(end.retryAfterMs, overloadedPauseMs) : notLoadedPauseMs;
        router.pause(model, lease.target, nowMs + pauseMs);
        metrics.countRetry('notRun');
        this._record('targetRefused', model, { target: lease.target, reason: end.type });
        break;
      }
      case 'failed':
      case 'serverError':
        this._handleFailure(model, lease, end.reason);
        break;
      case 'staleConnection':
        this._staleConnections += 1;
        if (this._staleConnections > maximumStaleConnections) {
          this._handleFailure(model, lease, 'the target closes its connections');
        }
        break;
      case 'cancelled':
        break;
    }
  }

  private _complete(body: string | undefined): void {
    if (body) {
      this._response.send({ status: 200, headers: { 'content-type': 'application/json' }, body });
    } else {
      this._response.completeStream();
    }
  }

  private _handleFailure(model: ResolvedModel, lease: TargetLease, reason: string): void {
    this._failures += 1;
    this._excluded.add(lease.target);
    this._record('attemptFailed', model, { target: lease.target, reason, delivered: this._nextIndex });
    if (this._failures >= maximumFailedAttempts) {
      this._response.fail(this._targetFailed(`${this._failures} attempts failed, the last one: ${reason}`));
    } else if (!this._mayRetry()) {
      this._response.fail(this._targetFailed(`the attempt failed (${reason}) and the retry budget is spent`));
    } else {
      this._dependencies.metrics.countRetry(this._nextIndex > 0 ? 'resumed' : 'failed');
    }
  }

  /** The first resumption of a broken stream is always allowed; all other retries are limited by the retry budget. */
  private _mayRetry(): boolean {
    if (this._nextIndex > 0) {
      this._resumes += 1;
      return this._resumes === 1 || this._dependencies.retries.withdraw();
    }
    return this._dependencies.retries.withdraw();
  }

  private _targetFailed(message: string): CallerError {
    return { status: 502, type: 'target_failed', message, executed: this._executed, retryAfterMs: 1_000 };
  }

  private _executedSoFar(): common.Executed {
    return mergeExecuted(this._executed, this._attempt?.executed ?? 'no');
  }

  private _record(
    event: string,
    model: ResolvedModel,
    detail: Readonly<Record<string, string | number | boolean>>,
    replica?: number,
  ): void {
    this._dependencies.context.timeline.record({
      part: 'front',
      event,
      request: this._request.requestId,
      model: model.queue,
      ...(replica === undefined ? {} : { replica }),
      detail,
    });
  }
}

/** Maps the end of an attempt to the result that is recorded for its target. */
const leaseResultByEnd = {
  complete: 'answered',
  notRun: 'answered',
  rejected: 'answered',
  failed: 'failed',
  serverError: 'answered',
  staleConnection: 'neutral',
  cancelled: 'neutral',
} as const;

function mergeExecuted(first: common.Executed, second: common.Executed): common.Executed {
  return first === 'yes' || second === 'yes' ? 'yes' : first === 'unknown' ? first : second;
}
