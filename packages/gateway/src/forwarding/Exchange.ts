import type * as http from 'node:http';
import type { CallerRequest, ReplicaAnswer } from '../contracts/RequestCodec.js';
import type { ModelReference, Replica, Route } from '../Types.js';
import { ModelWait } from '../waiting/ModelWait.js';
import type { WaitingRequest } from '../waiting/WaitingRequests.js';
import { discardBody } from './discardBody.js';
import { noteAnswer } from './noteAnswer.js';
import { readBody } from './readBody.js';
import { admitRequest, type OwnAnswer } from './admitRequest.js';
import { AnswerRelay } from './AnswerRelay.js';
import { type AttemptFailure, ReplicaAttempt } from './ReplicaAttempt.js';
import { type AttemptOutcome, CurrentAttempt } from './CurrentAttempt.js';
import { Deadline } from './Deadline.js';
import { decideDispatch, type DispatchSituation, refusedRetryAfterMs } from './decideDispatch.js';
import { callerPatienceMs, maySendAgain, urgencyOf } from './sendAgain.js';
import { SendHistory } from './SendHistory.js';
import { sendOwnAnswer } from './sendOwnAnswer.js';
import { SilenceWatch } from './SilenceWatch.js';
import type { ExchangeResult } from './ExchangeResult.js';
import type { ExchangeContext } from './Types.js';

/** One request of a caller: finds a replica or waits for one, sends the request, and passes the answer on. */
export class Exchange {
  private readonly _startedMs: number;
  private _caller: CallerRequest | undefined;
  private _route: Route | undefined;
  private _configurationVersion: number | undefined;
  private _service = '';
  private _body: Buffer = Buffer.alloc(0);
  private readonly _deadline = new Deadline(() => {
    this._timedOut();
  });
  private readonly _silence = new SilenceWatch(() => {
    this._replicaSilent();
  });
  private readonly _wait: ModelWait;
  private readonly _relay: AnswerRelay;
  private readonly _attempt: CurrentAttempt;
  private readonly _history = new SendHistory();
  /** Status of the answer that is being passed on. */
  private _answerStatus = 0;
  /** When this answer began, steady milliseconds. */
  private _answerBeganMs = 0;
  private _finished = false;
  /** Estimate of the leader that a refusal rests on, milliseconds. */
  private _readyInMs: number | undefined;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _request: http.IncomingMessage,
    private readonly _response: http.ServerResponse,
  ) {
    this._startedMs = this._nowMs();
    this._wait = new ModelWait(_context.waitingRoom);
    this._attempt = new CurrentAttempt(_context.loads);
    this._relay = new AnswerRelay(_response, _context.codec, () => _context.isStopping(), {
      onProgress: () => {
        this._silence.refresh();
      },
      onEnd: () => {
        this._answerEnded();
      },
      onBroken: (message) => {
        this._answerBroken(message);
      },
    });
    _response.sendDate = false;
    _response.on('close', () => {
      this._callerLeft();
    });
  }

  /** Starts the exchange. */
  public begin(): void {
    if (!this._admit()) {
      return;
    }
    const maximumBytes = this._context.routes()?.configuration.callerLimits.maximumBodyBytes ?? 0;
    readBody(this._request, maximumBytes, (outcome) => {
      if (this._finished) {
        return;
      }
      if (outcome === 'tooLarge') {
        const reason = 'body is larger than the operators allow';
        this._answer({ status: 413, outcome: 'invalidRequest', reason });
      } else if (outcome !== 'broken') {
        this._body = outcome;
        this._dispatch();
      }
    });
  }

  private _admit(): boolean {
    const { codec, budgets } = this._context;
    const admission = admitRequest(this._request, codec, this._context.routes(), Math.random());
    if (admission.kind === 'rejected') {
      this._caller = admission.caller;
      this._answer(admission.answer);
      return false;
    }
    const { caller, route, service, configurationVersion } = admission.request;
    this._caller = caller;
    this._route = route;
    this._service = service;
    this._configurationVersion = configurationVersion;
    this._deadline.start(this._startedMs, caller.deadlineMs, route.timeoutMs);
    budgets.recordRequest(service, this._startedMs);
    if (caller.target !== undefined) {
      this._context.recordArrival(caller.target, route);
    }
    return true;
  }

  /** Sends the request to the best replica, or lets it wait. Returns true if it no longer needs to wait. */
  private _dispatch(): boolean {
    const route = this._route;
    if (route === undefined) {
      return true;
    }
    const nowMs = this._nowMs();
    const decision = decideDispatch(this._situation(route, nowMs), this._context, nowMs);
    if (decision.kind === 'wait') {
      this._startWaiting(decision.target, route, nowMs);
      return false;
    }
    this._wait.stop(nowMs);
    if (decision.kind === 'send') {
      this._send(decision.replica, route);
    } else {
      this._readyInMs = decision.readyInMs;
      this._refuse(decision.reason, decision.retryAfterMs);
    }
    return true;
  }

  private _situation(route: Route, nowMs: number): DispatchSituation {
    return {
      service: this._service,
      route,
      target: this._caller?.target,
      promptParts: this._promptParts(),
      excluded: this._history.excluded,
      mayHaveRun: this._history.runs > 0,
      waitedMs: this._wait.waitedMs(nowMs),
      timeLeftMs: this._deadline.leftMs(nowMs),
      patienceMs: this._patienceLeftMs(route),
    };
  }

  private _startWaiting(target: ModelReference, route: Route, nowMs: number): void {
    const makeWaiter = (): WaitingRequest => ({
      modelReference: target,
      urgency: urgencyOf(route),
      lateAtMs: this._startedMs + route.latencyTargetMs,
      tryAgain: () => this._finished || this._dispatch(),
    });
    const check = (): void => {
      this._history.forgiveAll();
      this._dispatch();
    };
    if (this._wait.start(makeWaiter, check, nowMs)) {
      this._context.waitingChanged();
    }
  }

  /** Time until the caller leaves if it has no first byte, milliseconds. */
  private _patienceLeftMs(route: Route): number {
    const nowMs = this._nowMs();
    return Math.min(this._deadline.leftMs(nowMs), this._startedMs + callerPatienceMs(route) - nowMs);
  }

  private _send(replica: Replica, route: Route): void {
    const caller = this._caller;
    if (caller === undefined) {
      return;
    }
    const nowMs = this._nowMs();
    this._history.send(replica.id);
    const { lastEventId } = this._relay;
    const headers = this._context.codec.forwardedHeaders(this._request, {
      replicaId: replica.id,
      deadlineMs: Math.max(Math.floor(this._deadline.leftMs(nowMs)), 1),
      bodyBytes: this._body.length,
      ...(caller.target !== undefined && { urgency: urgencyOf(route) }),
      ...(lastEventId !== undefined && { lastEventId }),
    });
    const attempt = new ReplicaAttempt(
      {
        method: this._request.method ?? 'GET',
        path: this._request.url ?? '/',
        headers,
        body: this._body,
        caller,
        replica,
        // A kept connection that the replica closes at this moment would cost a request that must not be repeated.
        agent: route.kind === 'nonIdempotent' ? false : this._context.agent,
      },
      this._context.codec,
      {
        onHead: (answer, response) => {
          this._receiveHead(replica, answer, response);
        },
        onFailure: (failure) => {
          this._attemptFailed(replica, failure);
        },
        onBroken: (message) => {
          this._relay.break(message);
        },
      },
    );
    this._attempt.start(attempt, caller.target, this._promptParts());
    this._watchSilence();
  }

  private _receiveHead(replica: Replica, answer: ReplicaAnswer, response: http.IncomingMessage): void {
    this._silence.stop();
    noteAnswer(this._context, replica, answer, this._nowMs());
    if ((answer.notRun && answer.status !== 400) || answer.otherReplica) {
      discardBody(response);
      this._endAttempt('refused');
      this._sendAgainOr(false, () => {
        this._refuse(`replica refused with ${answer.status}`, answer.retryAfterMs ?? refusedRetryAfterMs);
      });
      return;
    }
    this._history.countRun();
    const isFailure = answer.status >= 500;
    if (isFailure && !this._relay.headSent && this._mayRunAgain()) {
      discardBody(response);
      this._endAttempt('failed');
      this._sendAgainOr(true, () => {
        this._breakOff('no replica gave a good answer');
      });
      return;
    }
    if (this._relay.headSent && answer.status !== 200) {
      response.destroy();
      this._endAttempt('failed');
      this._breakOff(`the stream could not be resumed: status ${answer.status}`);
      return;
    }
    this._passOn(answer, response);
  }

  private _passOn(answer: ReplicaAnswer, response: http.IncomingMessage): void {
    this._answerBeganMs = this._nowMs();
    const isEventStream = this._route?.kind === 'stream' && answer.status === 200;
    this._answerStatus = answer.status;
    this._relay.start(response, {
      resumable: isEventStream && this._route?.resumable === true,
      isComplete: () => this._attempt.isComplete(response),
    });
    if (isEventStream) {
      this._watchSilence();
    }
  }

  private _answerEnded(): void {
    const isGood = this._answerStatus < 500;
    if (isGood) {
      this._attempt.recordRun(this._nowMs() - this._answerBeganMs);
    }
    this._endAttempt(isGood ? 'succeeded' : 'failed');
    this._finish(isGood ? 'delivered' : 'replicaFailure', this._answerStatus);
  }

  private _answerBroken(message: string): void {
    if (!this._finished) {
      this._endAttempt('failed');
      this._sendAgainOr(true, () => {
        this._breakOff(message);
      });
    }
  }

  private _attemptFailed(replica: Replica, failure: AttemptFailure): void {
    this._silence.stop();
    if (failure.kind === 'notConnected') {
      this._context.loads.recordUnreachable(replica.id, this._nowMs());
      this._endAttempt('failed');
      this._sendElsewhere(failure.message);
      return;
    }
    if (failure.mayHaveRun) {
      this._history.countRun();
    }
    this._endAttempt('failed');
    this._sendAgainOr(failure.mayHaveRun, () => {
      this._refuse(failure.message, refusedRetryAfterMs);
    });
  }

  /** Goes on after a connection that was not made. Nothing has arrived, so this takes nothing of the retry budget. */
  private _sendElsewhere(message: string): void {
    const usable = this._context.directory.usable(this._service);
    const mayGoOn =
      this._caller?.target !== undefined || usable.some((replica) => !this._history.excluded.has(replica.id));
    if (mayGoOn && this._deadline.leftMs(this._nowMs()) > 0) {
      this._dispatch();
    } else {
      this._refuse(message, refusedRetryAfterMs);
    }
  }

  /** Sends the request once more if that is allowed, else gives it up. */
  private _sendAgainOr(mayHaveRun: boolean, giveUp: () => void): void {
    const nowMs = this._nowMs();
    const allowed = !mayHaveRun || this._mayRunAgain();
    if (allowed && this._deadline.leftMs(nowMs) > 0 && this._context.budgets.tryTakeRetry(this._service, nowMs)) {
      this._dispatch();
    } else {
      giveUp();
    }
  }

  private _mayRunAgain(): boolean {
    return this._route !== undefined && maySendAgain(this._route, this._history.runs, this._relay.headSent);
  }

  private _watchSilence(): void {
    this._silence.start(this._route, this._history.earlierRuns, this._relay.headSent);
  }

  /** Gives a silent replica up; the request runs elsewhere. */
  private _replicaSilent(): void {
    if (this._finished || !this._attempt.isRunning) {
      return;
    }
    const nowMs = this._nowMs();
    if (!this._context.budgets.tryTakeRetry(this._service, nowMs)) {
      return;
    }
    this._relay.detach();
    this._history.countRun();
    this._attempt.recordSilence(nowMs);
    this._silence.stop();
    this._attempt.cancel();
    this._dispatch();
  }

  private _endAttempt(outcome: AttemptOutcome): void {
    this._silence.stop();
    this._attempt.end(outcome, this._nowMs());
  }

  private _timedOut(): void {
    if (!this._attempt.isRunning && this._history.runs === 0) {
      this._refuse('time is up before a replica could be used', refusedRetryAfterMs);
    } else {
      this._breakOff('time is up', 504);
    }
  }

  /** Ends a request that a replica may have run: by a failure that promises nothing, or by a cut if bytes were sent. */
  private _breakOff(reason: string, status = 502): void {
    this._cancelAttempt();
    if (this._relay.headSent) {
      this._finish(status === 504 ? 'timedOut' : 'broken', undefined, reason);
      this._response.socket?.resetAndDestroy();
    } else {
      this._answer({ status, outcome: status === 504 ? 'timedOut' : 'broken', reason });
    }
  }

  /** Refuses a request if it has not run and never will; breaks it off if a replica may have run it. */
  private _refuse(reason: string, retryAfterMs: number): void {
    if (this._relay.headSent || this._history.runs > 0) {
      this._breakOff(reason);
      return;
    }
    this._cancelAttempt();
    this._answer({ status: 503, outcome: 'refused', reason, retryAfterMs });
  }

  private _answer({ status, outcome, reason, retryAfterMs }: OwnAnswer): void {
    if (this._finished) {
      return;
    }
    this._finish(outcome, status, reason, retryAfterMs);
    sendOwnAnswer(this._request, this._response, this._context.codec, {
      status,
      reason,
      retryAfterMs,
      attemptId: this._caller?.attemptId,
      closesConnection: this._context.isStopping(),
    });
  }

  private _callerLeft(): void {
    if (!this._finished) {
      this._recordSilence();
      this._cancelAttempt();
      this._finish('callerLeft', undefined);
    }
  }

  /** A replica that let its caller wait in vain counts as failed, so that others are tried first. */
  private _recordSilence(): void {
    const patienceMs = this._route === undefined ? Number.POSITIVE_INFINITY : callerPatienceMs(this._route);
    const nowMs = this._nowMs();
    if (!this._relay.headSent && nowMs - this._startedMs > patienceMs / 2) {
      this._attempt.recordSilence(nowMs);
    }
  }

  private _cancelAttempt(): void {
    this._relay.detach();
    this._attempt.cancel();
  }

  private _finish(
    outcome: ExchangeResult['outcome'],
    status: number | undefined,
    reason?: string,
    retryAfterMs?: number,
  ): void {
    this._finished = true;
    this._deadline.stop();
    this._silence.stop();
    const nowMs = this._nowMs();
    this._wait.stop(nowMs);
    const result: ExchangeResult = {
      attemptId: this._caller?.attemptId,
      route: this._route?.name,
      configurationVersion: this._configurationVersion,
      target: this._caller?.target,
      outcome,
      status,
      replicas: this._history.tried,
      waitedMs: this._wait.waitedMs(nowMs),
      durationMs: nowMs - this._startedMs,
      reason,
      readyInMs: this._readyInMs,
      retryAfterMs,
    };
    this._context.requestLog.record(result, nowMs);
  }

  private _promptParts(): readonly string[] {
    const caller = this._caller;
    return caller?.target === undefined
      ? []
      : caller.promptParts.map((part) => `${caller.target?.model ?? ''}:${part}`);
  }

  private _nowMs(): number {
    return this._context.clock.now().steadyMs;
  }
}
