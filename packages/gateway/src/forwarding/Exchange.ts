import type * as http from 'node:http';
import { pickService } from '../configuration/RouteTable.js';
import type { CallerRequest, ReplicaAnswer } from '../contracts/RequestCodec.js';
import { chooseReplica, holdsTarget } from '../routing/chooseReplica.js';
import type { Replica, Route } from '../Types.js';
import { decideWait } from '../waiting/decideWait.js';
import type { Waiter } from '../waiting/WaitingRoom.js';
import { readBody } from './readBody.js';
import { EventBoundary } from './EventBoundary.js';
import { type AttemptFailure, ReplicaAttempt } from './ReplicaAttempt.js';
import { callerPatienceMs, maySendAgain, silenceLimitMs, urgencyOf } from './sendAgain.js';
import type { ExchangeContext, ExchangeResult } from './Types.js';

/** Time before a request's deadline at which the final answer is sent, milliseconds. */
const answerReserveMs = 10;
/** Time limit of a request whose caller and route state none, milliseconds. */
const defaultTimeoutMs = 30_000;
/** Time to come back after replicas refused or could not be reached, milliseconds. */
const refusedRetryAfterMs = 500;
/** Time to come back while no configuration is known, milliseconds. */
const unconfiguredRetryAfterMs = 1_000;
/** Time to come back to another daemon while this one stops, milliseconds. */
const stoppingRetryAfterMs = 50;
/** Pause between two looks at whether a request should go on waiting, milliseconds. */
const waitCheckMs = 100;

/** One request of a caller: finds a replica or waits for one, sends the request, and passes the answer on. */
export class Exchange {
  private readonly _startedMs: number;
  private _caller: CallerRequest | undefined;
  private _route: Route | undefined;
  private _configurationVersion: number | undefined;
  private _service = '';
  private _body: Buffer = Buffer.alloc(0);
  private _dueMs = Number.POSITIVE_INFINITY;
  private _dueTimer: NodeJS.Timeout | undefined;
  private _silenceTimer: NodeJS.Timeout | undefined;
  private _waitTimer: NodeJS.Timeout | undefined;
  private _waiter: Waiter | undefined;
  private _waitingSinceMs: number | undefined;
  private _waitedMs = 0;
  private _attempt: ReplicaAttempt | undefined;
  private _upstream: http.IncomingMessage | undefined;
  private readonly _tried: string[] = [];
  /** Replicas that are passed over, because they have just failed this request. */
  private readonly _excluded = new Set<string>();
  /** Replicas that may have run the request. */
  private _runs = 0;
  private _events: EventBoundary | undefined;
  /** Answer whose head goes with the first bytes of its body. */
  private _pendingHead: http.IncomingMessage | undefined;
  private _headSent = false;
  private _finished = false;
  /** Estimate of the leader that a refusal rests on, milliseconds. */
  private _readyInMs: number | undefined;

  public constructor(
    private readonly _context: ExchangeContext,
    private readonly _request: http.IncomingMessage,
    private readonly _response: http.ServerResponse,
  ) {
    this._startedMs = this._nowMs();
    _response.sendDate = false;
    _response.on('close', () => {
      this._callerLeft();
    });
  }

  /** Starts the exchange. */
  public begin(): void {
    if (!this._findRoute()) {
      return;
    }
    const maximumBytes = this._context.routes()?.configuration.callerLimits.maximumBodyBytes ?? 0;
    readBody(this._request, maximumBytes, (outcome) => {
      if (this._finished) {
        return;
      }
      if (outcome === 'tooLarge') {
        this._answer(413, 'invalidRequest', 'body is larger than the operators allow');
      } else if (outcome !== 'broken') {
        this._body = outcome;
        this._dispatch();
      }
    });
  }

  private _findRoute(): boolean {
    this._caller = this._context.codec.readRequest(this._request);
    if (this._caller === undefined) {
      this._answer(400, 'invalidRequest', 'a required header is missing or malformed');
      return false;
    }
    const table = this._context.routes();
    if (table === undefined) {
      this._refuse('no configuration is known yet', unconfiguredRetryAfterMs);
      return false;
    }
    this._configurationVersion = table.configuration.version;
    this._route = table.find(this._caller.host, this._request.url ?? '/');
    if (this._route === undefined) {
      this._answer(404, 'noRoute', 'no route matches');
      return false;
    }
    this._service = pickService(this._route, Math.random());
    this._startDeadline(this._caller, this._route);
    this._context.budgets.recordRequest(this._service, this._startedMs);
    if (this._caller.target !== undefined) {
      this._context.recordArrival(this._caller.target, this._route);
    }
    return true;
  }

  private _startDeadline(caller: CallerRequest, route: Route): void {
    const limitMs = Math.min(caller.deadlineMs ?? defaultTimeoutMs, route.timeoutMs);
    this._dueMs = this._startedMs + limitMs;
    this._dueTimer = setTimeout(
      () => {
        this._timedOut();
      },
      Math.max(limitMs - answerReserveMs, 0),
    );
  }

  /** Sends the request to the best replica, or lets it wait. Returns true if it no longer needs to wait. */
  private _dispatch(): boolean {
    // A stream that is sent late in the stop would be cut at its end, and so would one that still waits.
    if (this._context.refusesLongRequests() && this._route?.kind === 'stream' && this._runs === 0) {
      this._stopWaiting();
      this._refuse('this daemon stops', stoppingRetryAfterMs);
      return true;
    }
    const nowMs = this._nowMs();
    const target = this._caller?.target;
    const usable = this._context.directory.usable(this._service);
    const holders = usable.filter((replica) => holdsTarget(replica, target));
    const fresh = holders.filter((replica) => !this._excluded.has(replica.id));
    const parts = this._promptParts();
    const candidates = (fresh.length > 0 || target !== undefined ? fresh : holders).map((replica) =>
      this._context.loads.candidate(replica, parts, nowMs),
    );
    const chosen = chooseReplica(candidates, this._context.failureDomain);
    if (chosen !== undefined) {
      this._stopWaiting();
      this._send(chosen.replica);
      return true;
    }
    if (target === undefined) {
      this._refuse('no replica of the service is known', refusedRetryAfterMs);
      return true;
    }
    return this._wait();
  }

  private _wait(): boolean {
    const nowMs = this._nowMs();
    const { _caller: caller, _route: route } = this;
    if (caller?.target === undefined || route === undefined) {
      return true;
    }
    this._waitingSinceMs ??= nowMs;
    const readyInMs = this._context.readyInMs(caller.target.model);
    const decision = decideWait({
      waitedMs: nowMs - this._waitingSinceMs,
      timeLeftMs: Math.min(this._dueMs, this._startedMs + callerPatienceMs(route)) - nowMs,
      latencyTargetMs: route.latencyTargetMs,
      ...(readyInMs !== undefined && { readyInMs }),
    });
    if (decision.kind === 'refuse') {
      this._readyInMs = readyInMs;
      this._stopWaiting();
      this._refuse(decision.reason, decision.retryAfterMs);
      return true;
    }
    if (this._waiter === undefined) {
      this._startWaiting(caller, route);
    }
    return false;
  }

  private _startWaiting(caller: CallerRequest, route: Route): void {
    if (caller.target === undefined) {
      return;
    }
    this._waiter = {
      target: caller.target,
      urgency: urgencyOf(route),
      lateAtMs: this._startedMs + route.latencyTargetMs,
      tryAgain: () => this._finished || this._dispatch(),
    };
    this._context.waitingRoom.add(this._waiter);
    this._context.waitingChanged();
    this._waitTimer = setInterval(() => {
      this._excluded.clear();
      this._dispatch();
    }, waitCheckMs);
  }

  private _stopWaiting(): void {
    clearInterval(this._waitTimer);
    if (this._waiter !== undefined) {
      this._context.waitingRoom.remove(this._waiter);
      this._waiter = undefined;
    }
    if (this._waitingSinceMs !== undefined) {
      this._waitedMs += this._nowMs() - this._waitingSinceMs;
      this._waitingSinceMs = undefined;
    }
  }

  private _send(replica: Replica): void {
    const { _caller: caller, _route: route } = this;
    if (caller === undefined || route === undefined) {
      return;
    }
    const nowMs = this._nowMs();
    this._tried.push(replica.id);
    this._excluded.add(replica.id);
    this._context.loads.started(replica.id, caller.target, this._promptParts());
    const lastEventId = this._events?.lastEventId;
    const headers = this._context.codec.forwardedHeaders(this._request, {
      replicaId: replica.id,
      deadlineMs: Math.max(Math.floor(this._dueMs - nowMs), 1),
      bodyBytes: this._body.length,
      ...(caller.target !== undefined && { urgency: urgencyOf(route) }),
      ...(lastEventId !== undefined && { lastEventId }),
    });
    this._attempt = new ReplicaAttempt(
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
          this._relayBroken(message);
        },
      },
    );
    this._watchSilence();
  }

  private _receiveHead(replica: Replica, answer: ReplicaAnswer, response: http.IncomingMessage): void {
    clearTimeout(this._silenceTimer);
    if (answer.load !== undefined) {
      this._context.loads.recordTotal(replica.id, answer.load.running + answer.load.waiting, this._nowMs());
    }
    if ((answer.notRun && answer.status !== 400) || answer.otherReplica) {
      response.resume();
      this._endAttempt(false);
      this._sendAgainOr(false, () => {
        this._refuse(`replica refused with ${answer.status}`, refusedRetryAfterMs);
      });
      return;
    }
    this._runs += 1;
    const isFailure = answer.status >= 500;
    if (isFailure && !this._headSent && this._mayRunAgain()) {
      response.resume();
      this._endAttempt(false);
      this._sendAgainOr(true, () => {
        this._breakOff('no replica gave a good answer');
      });
      return;
    }
    if (this._headSent && answer.status !== 200) {
      response.destroy();
      this._endAttempt(false);
      this._breakOff(`the stream could not be resumed: status ${answer.status}`);
      return;
    }
    this._relay(answer, response);
  }

  /** Passes the replica's answer on. The head goes with the first bytes of the body. */
  private _relay(answer: ReplicaAnswer, response: http.IncomingMessage): void {
    this._upstream = response;
    this._pendingHead = this._headSent ? undefined : response;
    const isEventStream = this._route?.kind === 'stream' && answer.status === 200;
    if (isEventStream && this._route?.resumable) {
      this._events ??= new EventBoundary();
    }
    if (isEventStream) {
      this._watchSilence();
    }
    response.on('data', (chunk: Buffer) => {
      this._relayChunk(chunk, response);
    });
    response.on('end', () => {
      this._relayEnd(answer, response);
    });
    response.on('error', (error) => {
      this._relayBroken(error.message);
    });
    response.on('close', () => {
      this._relayBroken('the replica closed the connection');
    });
  }

  private _relayChunk(chunk: Buffer, response: http.IncomingMessage): void {
    if (this._finished || this._upstream !== response) {
      return;
    }
    this._silenceTimer?.refresh();
    const bytes = this._events === undefined ? chunk : this._events.push(chunk);
    if (bytes.length === 0) {
      return;
    }
    this._sendHead();
    if (!this._response.write(bytes)) {
      response.pause();
      this._response.once('drain', () => response.resume());
    }
  }

  private _sendHead(): void {
    const head = this._pendingHead;
    this._pendingHead = undefined;
    if (head !== undefined) {
      this._headSent = true;
      this._response.shouldKeepAlive = this._response.shouldKeepAlive && !this._context.isStopping();
      const headers = this._context.codec.returnedHeaders(head);
      this._response.writeHead(head.statusCode ?? 502, head.statusMessage, headers);
    }
  }

  private _relayEnd(answer: ReplicaAnswer, response: http.IncomingMessage): void {
    if (this._finished || this._upstream !== response) {
      return;
    }
    if (!(this._attempt?.isComplete(response) ?? false)) {
      this._relayBroken('the replica reset the connection');
      return;
    }
    this._upstream = undefined;
    this._endAttempt(answer.status < 500);
    this._sendHead();
    this._response.end(this._events?.flush());
    this._finish(answer.status < 500 ? 'delivered' : 'replicaFailure', answer.status);
  }

  private _relayBroken(message: string): void {
    if (this._finished || this._upstream === undefined) {
      return;
    }
    this._upstream = undefined;
    this._endAttempt(false);
    this._events?.dropPartial();
    this._sendAgainOr(true, () => {
      this._breakOff(message);
    });
  }

  private _attemptFailed(replica: Replica, failure: AttemptFailure): void {
    clearTimeout(this._silenceTimer);
    if (failure.kind === 'notConnected') {
      this._context.loads.recordUnreachable(replica.id, this._nowMs());
    }
    this._runs += failure.mayHaveRun ? 1 : 0;
    this._endAttempt(false);
    this._sendAgainOr(failure.mayHaveRun, () => {
      if (failure.mayHaveRun || this._headSent || this._runs > 0) {
        this._breakOff(failure.message);
      } else {
        this._refuse(failure.message, refusedRetryAfterMs);
      }
    });
  }

  /** Sends the request once more if that is allowed, else gives it up. */
  private _sendAgainOr(mayHaveRun: boolean, giveUp: () => void): void {
    const nowMs = this._nowMs();
    const allowed = !mayHaveRun || this._mayRunAgain();
    if (allowed && this._dueMs > nowMs && this._context.budgets.tryTakeRetry(this._service, nowMs)) {
      this._dispatch();
    } else {
      giveUp();
    }
  }

  private _mayRunAgain(): boolean {
    return this._route !== undefined && maySendAgain(this._route, this._runs, this._headSent);
  }

  /** Gives a silent replica up where the request may run elsewhere. */
  private _watchSilence(): void {
    clearTimeout(this._silenceTimer);
    if (this._route === undefined || !maySendAgain(this._route, this._runs + 1, this._headSent)) {
      return;
    }
    this._silenceTimer = setTimeout(
      () => {
        this._replicaSilent();
      },
      silenceLimitMs(this._route, this._headSent),
    );
  }

  private _replicaSilent(): void {
    const attempt = this._attempt;
    if (this._finished || attempt === undefined) {
      return;
    }
    const nowMs = this._nowMs();
    if (!this._context.budgets.tryTakeRetry(this._service, nowMs)) {
      return;
    }
    this._upstream = undefined;
    this._runs += 1;
    attempt.cancel();
    this._endAttempt(false);
    this._events?.dropPartial();
    this._dispatch();
  }

  private _endAttempt(succeeded: boolean): void {
    clearTimeout(this._silenceTimer);
    const attempt = this._attempt;
    if (attempt !== undefined) {
      this._attempt = undefined;
      this._context.loads.ended(attempt.replica.id, this._caller?.target);
      this._context.loads.recordOutcome(attempt.replica.id, succeeded, this._nowMs());
    }
  }

  private _timedOut(): void {
    if (this._attempt === undefined && this._runs === 0) {
      this._refuse('time is up before a replica could be used', refusedRetryAfterMs);
    } else {
      this._breakOff('time is up', 504);
    }
  }

  /** Ends a request that a replica may have run: by a failure that promises nothing, or by a cut if bytes were sent. */
  private _breakOff(reason: string, status = 502): void {
    this._cancelAttempt();
    if (this._headSent) {
      this._finish(status === 504 ? 'timedOut' : 'broken', undefined, reason);
      this._response.socket?.resetAndDestroy();
    } else {
      this._answer(status, status === 504 ? 'timedOut' : 'broken', reason);
    }
  }

  /** Refuses a request that has not run and never will. */
  private _refuse(reason: string, retryAfterMs: number): void {
    if (this._headSent || this._runs > 0) {
      this._breakOff(reason);
      return;
    }
    this._cancelAttempt();
    this._answer(503, 'refused', reason, retryAfterMs);
  }

  private _answer(status: number, outcome: ExchangeResult['outcome'], reason: string, retryAfterMs?: number): void {
    if (this._finished) {
      return;
    }
    this._finish(outcome, status, reason, retryAfterMs);
    const body = Buffer.from(`${reason}\n`);
    const headers = this._context.codec.ownHeaders(this._caller?.attemptId, retryAfterMs);
    this._response.shouldKeepAlive = this._response.shouldKeepAlive && !this._context.isStopping();
    this._response.writeHead(status, [...headers, 'Content-Length', String(body.length)]);
    this._response.end(body);
    this._request.resume();
  }

  private _callerLeft(): void {
    if (!this._finished) {
      this._cancelAttempt();
      this._finish('callerLeft', undefined);
    }
  }

  private _cancelAttempt(): void {
    this._upstream = undefined;
    const attempt = this._attempt;
    if (attempt !== undefined) {
      this._attempt = undefined;
      this._context.loads.ended(attempt.replica.id, this._caller?.target);
      attempt.cancel();
    }
  }

  private _finish(
    outcome: ExchangeResult['outcome'],
    status: number | undefined,
    reason?: string,
    retryAfterMs?: number,
  ): void {
    this._finished = true;
    clearTimeout(this._dueTimer);
    clearTimeout(this._silenceTimer);
    this._stopWaiting();
    const nowMs = this._nowMs();
    const result: ExchangeResult = {
      attemptId: this._caller?.attemptId,
      route: this._route?.name,
      configurationVersion: this._configurationVersion,
      target: this._caller?.target,
      outcome,
      status,
      replicas: this._tried,
      waitedMs: this._waitedMs,
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
