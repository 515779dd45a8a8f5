import type * as http from 'node:http';
import type { CallerRequest, ResponseHead } from '../contracts/RequestCodec.js';
import type { Instant, Replica, Route } from '../Types.js';
import type { RedispatchResult } from '../waiting/WaitingRequests.js';
import { discardBody } from './discardBody.js';
import { recordResponseHead } from './recordResponseHead.js';
import { identifyRequest, type RequestIdentity, unidentified } from './identifyRequest.js';
import type { LocalResponse } from './admitRequest.js';
import type { OpenRequest, RequestStage } from './OpenRequests.js';
import { RequestAdmission, type RequestAdmissionListener } from './RequestAdmission.js';
import { ResponseRelay } from './ResponseRelay.js';
import { isFramed, mayBeEventStream } from './responseHeaders.js';
import { StreamContinuation } from './StreamContinuation.js';
import { createAttempt, promptPartKeys } from './createAttempt.js';
import type { AttemptFailure } from './ReplicaAttempt.js';
import { type AttemptOutcome, CurrentAttempt } from './CurrentAttempt.js';
import { Deadline } from './Deadline.js';
import { type DispatchDemand, DispatchWait } from './DispatchWait.js';
import { DeliveryTimes } from './DeliveryTimes.js';
import {
  decideDispatch,
  type DispatchInput,
  refusedRetryAfterMs,
  type ReturnPromise,
  type WaitDispatch,
} from './decideDispatch.js';
import type { ReturnKind } from '../waiting/WaitingMetrics.js';
import { KeyWatch, type WatchedRequest } from '../tenants/KeyWatch.js';
import { callerTimeoutMs, mayRetry, urgencyOf } from './retryPolicy.js';
import { AttemptHistory } from './AttemptHistory.js';
import { sendLocalResponse } from './sendLocalResponse.js';
import { statesNotExecuted, unstatedPromise } from './judgeAnswer.js';
import { stopRefusal } from './stopRefusal.js';
import { InactivityTimer } from './InactivityTimer.js';
import type { BrokenAnswer, ExchangeResult } from './ExchangeResult.js';
import type { ExchangeContext } from './Types.js';

/** Callers choose the parts of a prompt, so the number of those in a log line is limited. */
const maximumLoggedPromptParts = 16;
/** Share of the time until the first byte for which a stream that is taken up waits to learn which version began it. */
const originWaitShare = 0.5;

/** Handles one request of a caller: selects a replica or waits for one, sends the request and relays the response. */
export class Exchange {
  private readonly _startedMs: number;
  private _callerRequest: CallerRequest | undefined;
  private _route: Route | undefined;
  private _configurationVersion: number | undefined;
  private _service = '';
  private _body: Buffer = Buffer.alloc(0);
  private readonly _deadline = new Deadline(() => {
    this._deadlineReached();
  });
  private readonly _inactivityTimer = new InactivityTimer(() => {
    this._replicaInactive();
  });
  private readonly _wait: DispatchWait;
  private readonly _relay: ResponseRelay;
  private readonly _attempt: CurrentAttempt;
  private readonly _continuation: StreamContinuation;
  private readonly _history = new AttemptHistory();
  private readonly _deliveryTimes = new DeliveryTimes();
  private readonly _admission: RequestAdmission;
  private readonly _keyWatch: KeyWatch;
  /** Status of the response that is being relayed. */
  private _responseStatus = 0;
  /** Time at which this response began, steady milliseconds. */
  private _responseStartedMs = 0;
  private _finished = false;
  private _isAdmitted = false;
  private readonly _openRequest: OpenRequest;
  /** Leader's estimate on which a refusal is based, milliseconds. */
  private _readyInMs: number | undefined;
  private _identity: RequestIdentity = unidentified;
  /** Parts for which the request was refused. */
  private _blockedParts: readonly string[] | undefined;
  /** What the refused caller returns to. */
  private _returnKind: ReturnKind | undefined;
  /** Rate limit of the current replica when the request was sent to it, requests per second. */
  private _rateLimitPerSecond: number | undefined;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _request: http.IncomingMessage,
    private readonly _response: http.ServerResponse,
    private readonly _closesConnection: () => boolean,
  ) {
    this._startedMs = this._nowMs();
    this._wait = new DispatchWait(_context, () => this._nowMs());
    this._attempt = new CurrentAttempt(_context.loads, _context.speedReports);
    this._continuation = new StreamContinuation(_context.streams);
    this._relay = new ResponseRelay(_response, _context.codec, _closesConnection, {
      onProgress: () => {
        const nowMs = this._nowMs();
        this._inactivityTimer.refresh();
        this._deliveryTimes.record(nowMs);
        this._attempt.recordEvents(this._relay.completeEvents, nowMs);
      },
      onEnd: () => {
        this._responseEnded();
      },
      onInterrupted: (message) => {
        this._responseInterrupted(message);
      },
    });
    this._admission = new RequestAdmission(
      _context,
      _request,
      _response,
      this._deadline,
      this._startedMs,
      this._admissionListener(),
    );
    this._openRequest = this._createOpenRequest();
    this._keyWatch = new KeyWatch(_context.admission.tenantKeys, this._watchedRequest(), _context.clock);
    _response.sendDate = false;
    _response.on('close', () => {
      this._callerDisconnected();
    });
  }

  /** Admits the request, once the configuration is known, reads its body and dispatches it. */
  public begin(): void {
    this._context.openRequests.add(this._openRequest);
    this._admission.begin();
  }

  private _admissionListener(): RequestAdmissionListener {
    return {
      onRoute: ({ callerRequest, route, service, configurationVersion }) => {
        this._callerRequest = callerRequest;
        this._route = route;
        this._service = service;
        this._configurationVersion = configurationVersion;
      },
      onAuthorized: () => {
        const { credential } = this._callerRequest ?? {};
        if (this._admission.tenant !== undefined && credential !== undefined) {
          this._keyWatch.start(credential);
        }
      },
      onAdmitted: (body) => {
        this._body = body;
        this._isAdmitted = true;
        this._recordDemand();
        this._beginStream();
      },
      onRejected: (response, callerRequest) => {
        this._callerRequest = callerRequest;
        this._respond(response);
      },
    };
  }

  private _stage(): RequestStage {
    if (!this._isAdmitted) {
      return this._admission.stage;
    }
    if (this._continuation.isSearching) {
      return 'origin';
    }
    if (this._relay.headSent) {
      return 'response';
    }
    return this._attempt.isRunning ? 'replica' : 'dispatch';
  }

  private _createOpenRequest(): OpenRequest {
    return {
      stage: () => this._stage(),
      timeLeftMs: (nowMs) => this._deadline.leftMs(nowMs),
      mayHaveRun: () => this._mayHaveRun(),
      endForStop: () => {
        if (this._mayHaveRun()) {
          this._abort(stopRefusal.reason);
        } else {
          this._respond(stopRefusal);
        }
      },
    };
  }

  /** True once the request has been passed on to a replica that does not state that it has not run it. */
  private _mayHaveRun(): boolean {
    return this._attempt.isRunning || this._history.possibleRuns > 0 || this._relay.headSent;
  }

  private _watchedRequest(): WatchedRequest {
    return {
      state: () => ({ hasBegun: this._mayHaveRun(), isStream: this._route?.kind === 'stream' }),
      onTenant: (tenant) => {
        this._admission.replaceTenant(tenant);
      },
      onRejected: (response) => {
        this._respond(response);
      },
      onEnded: (reason) => {
        this._abort(reason);
      },
    };
  }

  /** Identifies the request, and counts it in the demand for its model unless it is blocked. */
  private _recordDemand(): void {
    const callerRequest = this._callerRequest;
    if (callerRequest === undefined || this._route === undefined) {
      return;
    }
    const tenantName = this._admission.tenant?.name;
    if (tenantName !== undefined) {
      this._context.waitingRequests.shares.record(this._service, tenantName, this._nowMs());
    }
    this._identity = identifyRequest(this._request, callerRequest, this._body);
    const verdict = this._context.crashGuard.check(this._identity.suspectableParts, this._nowMs());
    if (callerRequest.modelReference !== undefined && verdict.kind !== 'blocked') {
      this._context.recordArrival(callerRequest.modelReference, this._route);
    }
  }

  /** Dispatches the request, once it is known at which version it goes on if it takes a broken stream up. */
  private _beginStream(): void {
    if (this._callerRequest === undefined || this._route === undefined) {
      return;
    }
    const longestWaitMs = this._firstByteTimeLeftMs(this._route) * originWaitShare;
    this._continuation.begin(this._callerRequest, this._route, this._service, longestWaitMs, (result) => {
      if (result === 'ready') {
        this._dispatch();
      } else if (result === 'unknown') {
        this._refuse('it is not known which version began the stream', undefined);
      } else {
        this._refuse('no leader tells which version began the stream', refusedRetryAfterMs);
      }
    });
  }

  /** Records which version begins the stream. Calls `release` once its first event may be passed on, else aborts the request. */
  private _recordOrigin(release: () => void): void {
    const { replica } = this._attempt;
    if (this._callerRequest === undefined || this._route === undefined || replica === undefined) {
      release();
      return;
    }
    const { attemptId } = this._callerRequest;
    this._continuation.recordFirstEvent(attemptId, this._route, this._service, replica, release, () => {
      this._abort('the version that began the stream could not be stored');
    });
  }

  /** Sends the request to the best replica, queues it or refuses it. */
  private _dispatch(): RedispatchResult {
    const route = this._route;
    if (route === undefined || this._finished || this._attempt.isRunning || this._keyWatch.rejectIfRevoked()) {
      return 'ended';
    }
    const now = this._context.clock.now();
    const nowMs = now.steadyMs;
    const decision = decideDispatch(this._dispatchInput(route, nowMs), this._context, now);
    if (decision.kind === 'wait') {
      this._startWaiting(decision, route, nowMs);
      if (decision.trialParts !== undefined && this._context.crashGuard.requestTrial(decision.trialParts, nowMs)) {
        this._context.crashMetrics.count('requested');
      }
      return 'waits';
    }
    this._wait.stop(nowMs);
    if (decision.kind === 'send') {
      if (decision.preferredReplicaId !== undefined) {
        this._context.rateLimits.recordSpareDemand(decision.preferredReplicaId);
      }
      if (decision.trialParts !== undefined) {
        this._context.crashMetrics.count('trial');
      }
      this._send(decision.replica, route, decision.trialParts);
    } else {
      this._readyInMs = decision.readyInMs;
      this._blockedParts = decision.blockedParts;
      if (decision.blockedParts !== undefined) {
        this._context.crashMetrics.count('refused');
      }
      const { promise } = decision;
      this._context.waitingMetrics.countRefusal(decision.reason);
      const retryAfterMs = promise === undefined ? decision.retryAfterMs : this._promiseReturn(promise, nowMs);
      this._refuse(decision.reason, retryAfterMs);
    }
    return decision.kind === 'send' ? 'sent' : 'ended';
  }

  /** Returns the time after which the caller is asked to return, milliseconds. */
  private _promiseReturn({ capacity, window }: ReturnPromise, nowMs: number): number {
    const servedKind = capacity.modelReference === undefined ? 'queue' : 'model';
    this._returnKind = window.isServed ? servedKind : 'late';
    this._context.waitingMetrics.countReturn(this._returnKind);
    return this._context.waitingRequests.returns.promise(capacity, window, nowMs);
  }

  private _dispatchInput(route: Route, nowMs: number): DispatchInput {
    const tenantName = this._admission.tenant?.name;
    return {
      service: this._service,
      route,
      modelReference: this._callerRequest?.modelReference,
      promptPartIds: promptPartKeys(this._callerRequest),
      suspectableParts: this._identity.suspectableParts,
      excluded: this._history.excluded,
      mayHaveRun: this._history.possibleRuns > 0,
      waitedMs: this._wait.waitedMs(nowMs),
      requiredVersion: this._continuation.requiredVersion,
      urgency: this._urgency(route),
      tenantName,
      exceedsShare: this._context.waitingRequests.shares.exceedsShare(this._service, tenantName, nowMs),
      lateAtMs: this._startedMs + route.latencyTargetMs,
      timeLeftMs: this._deadline.leftMs(nowMs),
      firstByteTimeLeftMs: this._firstByteTimeLeftMs(route),
    };
  }

  private _urgency(route: Route): number {
    const isContinued = this._continuation.requiredVersion !== undefined;
    return urgencyOf(route, this._admission.tenant?.priority, isContinued);
  }

  private _startWaiting(decision: WaitDispatch, route: Route, nowMs: number): void {
    const createDemand = (): DispatchDemand => ({
      modelReference: this._callerRequest?.modelReference,
      requiredVersion: this._continuation.requiredVersion,
      urgency: this._urgency(route),
      lateAtMs: this._startedMs + route.latencyTargetMs,
      leavesAtMs: nowMs + this._firstByteTimeLeftMs(route),
      sizeBytes: this._body.length,
      tenantName: this._admission.tenant?.name,
      redispatch: () => this._dispatch(),
    });
    const onInterval = (): void => {
      this._history.clearExcluded();
    };
    this._wait.start(decision, createDemand, onInterval, nowMs);
  }

  /** Time until the caller disconnects if it has received no byte, milliseconds. */
  private _firstByteTimeLeftMs(route: Route): number {
    const nowMs = this._nowMs();
    return Math.min(this._deadline.leftMs(nowMs), this._startedMs + callerTimeoutMs(route) - nowMs);
  }

  private _send(replica: Replica, route: Route, trialParts: readonly string[] | undefined): void {
    const callerRequest = this._callerRequest;
    if (callerRequest === undefined) {
      return;
    }
    const now = this._context.clock.now();
    const expected = this._context.loads.candidate(replica, [], now.steadyMs);
    this._context.choiceMetrics.recordChoice(expected);
    this._history.startAttempt(replica, expected);
    this._rateLimitPerSecond = this._context.rateLimits.perSecond(replica.id);
    this._context.rateLimits.recordSend(replica.id, now);
    const attempt = createAttempt(
      this._context,
      {
        incoming: this._request,
        body: this._body,
        callerRequest,
        route,
        replica,
        isReplicaFull: expected.running >= replica.slots,
        history: this._history,
        deadlineMs: Math.max(Math.floor(this._deadline.leftMs(now.steadyMs)), 1),
        urgency: this._urgency(route),
        lastEventId: this._relay.lastEventId,
        checksStart: this._continuation.requiredVersion !== undefined || this._mayMixUnnoticed(route, now),
        tenantName: this._admission.tenant?.name,
      },
      {
        onHead: (head, response) => {
          this._receiveHead(replica, head, response);
        },
        onFailure: (failure) => {
          this._attemptFailed(replica, failure);
        },
        onConnectionLost: (message) => {
          this._relay.interrupt(message);
        },
      },
    );
    const observation = this._context.crashObserver.observe(replica, this._identity.suspectableParts, trialParts);
    this._attempt.start(attempt, callerRequest.modelReference, promptPartKeys(callerRequest), observation);
    this._startInactivityTimer();
  }

  /** True if the request begins a stream that may be taken up, by records of replicas that may be out of date. */
  private _mayMixUnnoticed(route: Route, now: Instant): boolean {
    return route.kind === 'stream' && route.resumable && !this._context.knowsReplicas(now);
  }

  private _receiveHead(replica: Replica, head: ResponseHead, response: http.IncomingMessage): void {
    this._inactivityTimer.stop();
    this._history.sends.recordAnswer(head);
    recordResponseHead(this._context, replica, this._callerRequest?.modelReference, head, this._nowMs());
    if (statesNotExecuted(head)) {
      discardBody(response);
      this._endAttempt('refused');
      this._retryOr(false, () => {
        this._refuse(`replica refused with ${head.status}`, head.retryAfterMs ?? refusedRetryAfterMs);
      });
      return;
    }
    this._history.countPossibleRun();
    const unstated = unstatedPromise(head, this._route);
    const isRetried = head.status >= 500 && !this._relay.hasBegun && this._mayRetry();
    if (unstated !== undefined || isRetried) {
      discardBody(response);
      this._endAttempt('failed');
      this._retryOr(true, () => {
        this._abort(unstated ?? 'no replica gave a good answer');
      });
      return;
    }
    if (this._relay.hasBegun && !this._relay.canContinueWith(response)) {
      response.destroy();
      this._endAttempt('failed');
      this._retryOr(true, () => {
        this._abort(`the stream could not be resumed: status ${head.status}`);
      });
      return;
    }
    this._forwardResponse(head, response);
  }

  private _forwardResponse(head: ResponseHead, response: http.IncomingMessage): void {
    this._responseStartedMs = this._nowMs();
    const isEventStream = this._route?.kind === 'stream' && mayBeEventStream(response);
    this._responseStatus = head.status;
    this._relay.start(response, {
      isEventStream,
      isFramed: isFramed(response),
      beforeFirstEvent: (release) => {
        this._recordOrigin(release);
      },
      isComplete: () => this._attempt.isComplete(response),
    });
    if (isEventStream) {
      this._startInactivityTimer();
    }
  }

  private _responseEnded(): void {
    const isGood = this._responseStatus < 500;
    if (isGood) {
      const nowMs = this._nowMs();
      this._attempt.recordDuration(nowMs - this._responseStartedMs, this._route?.name, nowMs);
    }
    this._endAttempt(isGood ? 'succeeded' : 'failed');
    this._finish(isGood ? 'delivered' : 'replicaFailure', this._responseStatus);
  }

  private _responseInterrupted(message: string): void {
    if (!this._finished) {
      this._endAttempt('lost');
      this._retryOr(true, () => {
        this._abort(message);
      });
    }
  }

  private _attemptFailed(replica: Replica, failure: AttemptFailure): void {
    this._inactivityTimer.stop();
    this._history.sends.recordFailure(failure.kind);
    if (failure.kind === 'notConnected' || failure.kind === 'replicaLeft') {
      if (failure.kind === 'notConnected') {
        this._context.loads.recordUnreachable(replica.id, this._nowMs());
      }
      this._endAttempt('failed');
      this._dispatchUnsent(failure.message);
      return;
    }
    if (failure.kind === 'invalidAnswer') {
      const { message: reason } = failure;
      const attempt = this._callerRequest?.attemptId;
      this._context.log.warn('The replica sent an invalid answer.', { replica: replica.id, attempt, reason });
    }
    if (failure.mayHaveRun) {
      this._history.countPossibleRun();
    }
    this._endAttempt(failure.kind === 'broken' ? 'lost' : 'failed');
    this._retryOr(failure.mayHaveRun, () => {
      this._refuse(failure.message, refusedRetryAfterMs);
    });
  }

  /** Dispatches again if the replica has received nothing. The retry budget is not charged. */
  private _dispatchUnsent(message: string): void {
    const usable = this._context.directory.usable(this._service);
    const canContinue =
      this._callerRequest?.modelReference !== undefined ||
      usable.some((replica) => !this._history.excluded.has(replica.id));
    if (canContinue && this._deadline.leftMs(this._nowMs()) > 0) {
      this._dispatch();
    } else {
      this._refuse(message, refusedRetryAfterMs);
    }
  }

  /** Retries the request if the route, the deadline and the retry budget allow it; otherwise calls `onNoRetry`. */
  private _retryOr(mayHaveRun: boolean, onNoRetry: () => void): void {
    const nowMs = this._nowMs();
    const allowed = !mayHaveRun || this._mayRetry();
    if (allowed && this._deadline.leftMs(nowMs) > 0 && this._context.retryBudgets.tryTakeRetry(this._service, nowMs)) {
      this._dispatch();
    } else {
      onNoRetry();
    }
  }

  private _mayRetry(): boolean {
    return this._route !== undefined && mayRetry(this._route, this._history.possibleRuns, this._relay.hasBegun);
  }

  private _startInactivityTimer(): void {
    this._inactivityTimer.start(this._route, this._history.earlierPossibleRuns, this._relay.hasBegun);
  }

  /**
   * Cancels the attempt at an unresponsive replica and dispatches the request again, if another replica can take it now
   * and the retry budget allows it. Otherwise the replica may go on: an engine pauses a stream to free memory.
   */
  private _replicaInactive(): void {
    const route = this._route;
    if (this._finished || !this._attempt.isRunning || route === undefined) {
      return;
    }
    const now = this._context.clock.now();
    if (!this._canSendAgain(route, now)) {
      this._startInactivityTimer();
      return;
    }
    if (!this._context.retryBudgets.tryTakeRetry(this._service, now.steadyMs)) {
      return;
    }
    this._relay.detach();
    this._history.countPossibleRun();
    this._attempt.recordNoResponse(now.steadyMs);
    this._inactivityTimer.stop();
    this._attempt.cancel();
    this._dispatch();
  }

  /** True if the request would be sent to a replica if the current attempt were cancelled. */
  private _canSendAgain(route: Route, now: Instant): boolean {
    const input = { ...this._dispatchInput(route, now.steadyMs), mayHaveRun: true };
    return decideDispatch(input, this._context, now).kind === 'send';
  }

  private _endAttempt(outcome: AttemptOutcome): void {
    this._inactivityTimer.stop();
    this._attempt.end(outcome, this._nowMs());
    this._context.waitingRequests.redispatchHeld(this._nowMs());
  }

  private _deadlineReached(): void {
    if (!this._attempt.isRunning && this._history.possibleRuns === 0) {
      this._refuse('time is up before a replica could be used', refusedRetryAfterMs);
    } else {
      this._abort('time is up', 504);
    }
  }

  /**
   * Ends a request that a replica may have run. The failure status does not say whether it ran; if bytes were already
   * sent to the caller, the connection is reset instead.
   */
  private _abort(reason: string, status = 502): void {
    this._cancelAttempt();
    if (this._relay.headSent) {
      this._finish(status === 504 ? 'timedOut' : 'broken', undefined, reason);
      this._response.socket?.resetAndDestroy();
    } else {
      this._respond({ status, outcome: status === 504 ? 'timedOut' : 'broken', reason });
    }
  }

  /** Refuses a request that has not run and will not run; aborts it if a replica may have run it. */
  private _refuse(reason: string, retryAfterMs: number | undefined): void {
    if (this._relay.headSent || this._history.possibleRuns > 0) {
      this._abort(reason);
      return;
    }
    this._cancelAttempt();
    this._respond({ status: 503, outcome: 'refused', reason, ...(retryAfterMs !== undefined && { retryAfterMs }) });
  }

  private _respond({ status, outcome, reason, retryAfterMs }: LocalResponse): void {
    if (this._finished) {
      return;
    }
    this._finish(outcome, status, reason, retryAfterMs);
    sendLocalResponse(this._request, this._response, this._context.codec, {
      status,
      reason,
      retryAfterMs,
      attemptId: this._callerRequest?.attemptId,
      closesConnection: this._closesConnection(),
    });
  }

  private _callerDisconnected(): void {
    if (!this._finished) {
      this._recordNoResponse();
      this._cancelAttempt();
      this._finish('callerLeft', undefined);
    }
  }

  /** Records a failure of a replica that sent no response while the caller waited, so that others are preferred. */
  private _recordNoResponse(): void {
    const timeoutMs = this._route === undefined ? Number.POSITIVE_INFINITY : callerTimeoutMs(this._route);
    const nowMs = this._nowMs();
    if (!this._relay.hasBegun && nowMs - this._startedMs > timeoutMs / 2) {
      this._attempt.recordNoResponse(nowMs);
    }
  }

  private _cancelAttempt(): void {
    this._relay.dropHeld();
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
    this._context.openRequests.remove(this._openRequest);
    this._deadline.stop();
    this._inactivityTimer.stop();
    this._continuation.stop();
    this._admission.stop();
    this._keyWatch.stop();
    const nowMs = this._nowMs();
    this._wait.stop(nowMs);
    const result: ExchangeResult = {
      attemptId: this._callerRequest?.attemptId,
      route: this._route?.name,
      tenant: this._admission.tenant?.name,
      configurationVersion: this._configurationVersion,
      target: this._callerRequest?.modelReference,
      outcome,
      status,
      replicas: this._history.replicaIds,
      softwareVersions: this._history.softwareVersions,
      resumedAttemptId: this._callerRequest?.resumedAttemptId,
      lastEventId: this._callerRequest?.lastEventId,
      sends: this._history.sends.records,
      rateLimitPerSecond: this._rateLimitPerSecond,
      waitedMs: this._wait.waitedMs(nowMs),
      waitedFor: this._wait.reason,
      durationMs: nowMs - this._startedMs,
      firstPartMs: this._deliveryTimes.firstAfterMs(this._startedMs),
      longestGapMs: this._deliveryTimes.longestGapMs,
      reason,
      brokenAnswer: outcome === 'broken' ? this._brokenAnswer() : undefined,
      blockedParts: this._blockedParts,
      readyInMs: this._readyInMs,
      retryAfterMs,
      returnsTo: this._returnKind,
    };
    this._context.requestLog.record(result, nowMs);
  }

  private _brokenAnswer(): BrokenAnswer {
    const promptPartIds = (this._callerRequest?.promptPartIds ?? []).slice(0, maximumLoggedPromptParts);
    return { promptPartIds, requestPart: this._identity.wholeRequest, receivedBytes: this._relay.receivedBytes };
  }

  private _nowMs(): number {
    return this._context.clock.now().steadyMs;
  }
}
