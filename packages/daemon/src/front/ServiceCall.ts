import * as crypto from 'node:crypto';
import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { notRun } from '../routing/refusals.js';
import type { RetryAllowance } from '../routing/RetryAllowance.js';
import { callService, forwardedHeaders, type ServiceRequest } from '../routing/ServiceAttempt.js';
import type { ServiceTargets } from '../routing/ServiceTargets.js';
import type * as types from '../Types.js';
import { CallerAnswer } from './CallerAnswer.js';
import { ClaimedSend } from './ClaimedSend.js';
import type { FrontMetrics } from './FrontMetrics.js';
import type { CallerRequest } from './Types.js';

/** Attempts of a call that may be repeated, or to find a target that accepts a connection. */
const maximumAttempts = 3;
const keyPattern = /^[\x21-\x7e]{1,200}$/;

/** What service calls share. */
export interface ServiceParts {
  readonly context: types.DaemonContext;
  readonly log: types.ControlLog;
  readonly claims: types.ClaimsClient;
  readonly targets: ServiceTargets;
  readonly retries: RetryAllowance;
  readonly metrics: FrontMetrics;
}

/** One call of a plain service. */
export class ServiceCall {
  private readonly _answer: CallerAnswer;
  private readonly _service: string;
  private readonly _path: string;
  private _executed: common.Executed = 'no';

  public constructor(
    private readonly _parts: ServiceParts,
    private readonly _request: CallerRequest,
    private readonly _body: Buffer,
  ) {
    const [, , service = '', ...segments] = _request.path.split('/');
    this._service = service;
    this._path = `/${segments.join('/')}`;
    this._answer = new CallerAnswer(_parts.context, _request, {
      executed: () => this._executed,
      onDrain: () => undefined,
      onEnded: () => undefined,
    });
  }

  /** Runs the call. Resolves with the outcome once the answer is written and the result of the call is recorded. */
  public async run(): Promise<string> {
    const { caller, path, deadlineMs } = this._request;
    const settings = decisions.serviceSettings(this._parts.log.state, caller.partner, this._service);
    if (!settings) {
      this._answer.fail(notRun(404, 'service_not_found', `service ${JSON.stringify(this._service)} is not configured`));
    } else if (decisions.isAmbiguousPath(path)) {
      this._answer.fail(notRun(400, 'invalid_path', 'the path must not contain empty, dot or encoded slash segments'));
    } else {
      this._parts.retries.countRequest();
      const limitMs = this._answer.setDeadline(deadlineMs ?? settings.deadlineMs);
      const method = this._request.incoming.method ?? 'GET';
      const repeatable = decisions.isIdempotentRoute(settings.idempotentRoutes, method, this._path);
      this._record('accepted', { repeatable });
      await (repeatable ? this._runRepeatable(limitMs) : this._runOnce(limitMs));
    }
    return this._answer.closed;
  }

  private async _runRepeatable(limitMs: number): Promise<void> {
    const { context, targets, retries, metrics } = this._parts;
    const tried = new Set<common.TargetAddress>();
    let reason = 'no target of the service is live';
    for (let attempt = 1; attempt <= maximumAttempts && !this._answer.ended; attempt += 1) {
      const target = targets.choose(this._service, tried, context.now());
      if (target === undefined || (attempt > 1 && !retries.take())) {
        break;
      }
      tried.add(target);
      this._record(attempt > 1 ? 'retried' : 'dispatched', { target, attempt });
      const end = await targets.track(target, () =>
        callService(target, this._serviceRequest(), {
          // Half of the remaining time, so that a silent target leaves time for another one.
          limitMs: (limitMs - context.now()) / (attempt < maximumAttempts ? 2 : 1),
          beforeWrite: () => this._beforeWrite(),
        }),
      );
      if (end.kind === 'answered') {
        this._executed = 'yes';
        this._answer.pass(end.answer);
        return;
      }
      reason = end.reason;
      metrics.retried(end.kind === 'broken' ? 'failed' : 'notConnected');
    }
    const status = this._executed === 'no' ? 503 : 502;
    this._answer.fail({
      status,
      type: 'target_failed',
      message: reason,
      executed: this._executed,
      retryAfterMs: 1_000,
    });
  }

  private async _runOnce(limitMs: number): Promise<void> {
    const key = this._request.incoming.headers['idempotency-key'];
    const refusal = this._checkKey(key);
    if (refusal || typeof key !== 'string') {
      this._answer.fail(refusal ?? notRun(400, 'idempotency_key_required', 'Idempotency-Key is missing'));
      return;
    }
    const send = new ClaimedSend(this._parts, {
      key: `${this._request.caller.partner}/${this._service}/${key}`,
      fingerprint: this._fingerprint(),
      attempt: `${this._parts.log.incarnation}/${this._request.requestKey}`,
      limitMs,
      maximumConnects: maximumAttempts,
      service: this._service,
      request: this._serviceRequest(),
      isAnswered: () => this._answer.ended,
      onSending: (target) => {
        this._executed = 'unknown';
        this._record('dispatched', { target, attempt: 1 });
      },
    });
    const result = await send.run();
    if (result.kind === 'answered') {
      this._executed = 'yes';
      this._answer.pass(result.answer);
    } else {
      this._executed = result.error.executed;
      this._answer.fail(result.error);
    }
    // The result of the call is recorded even if the caller was answered at its deadline.
    await send.recorded;
  }

  /** After the caller has its final answer nothing may be sent, or "not run" would become untrue. */
  private _beforeWrite(): boolean {
    if (this._answer.ended) {
      return false;
    }
    this._executed = 'unknown';
    return true;
  }

  private _checkKey(key: string | string[] | undefined): ReturnType<typeof notRun> | undefined {
    if (key === undefined) {
      const message = 'this call may not be repeated: send an Idempotency-Key';
      return notRun(400, 'idempotency_key_required', message);
    }
    if (typeof key !== 'string' || !keyPattern.test(key)) {
      return notRun(400, 'invalid_header', 'Idempotency-Key must be 1 to 200 visible ASCII characters');
    }
    const madeMs = decisions.uuidV7Time(key);
    const windowMs = this._parts.context.settings.limits.idempotencyWindowMs;
    return madeMs !== undefined && this._parts.context.wallNow() - madeMs > windowMs
      ? notRun(400, 'idempotency_key_expired', `the key is older than the window of ${windowMs} ms`)
      : undefined;
  }

  private _fingerprint(): string {
    const hash = crypto.createHash('sha256');
    hash.update(`${this._request.incoming.method ?? ''} ${this._path}${this._request.query}\n`);
    return hash.update(this._body).digest('hex');
  }

  private _serviceRequest(): ServiceRequest {
    const { incoming, query, requestId } = this._request;
    return {
      method: incoming.method ?? 'GET',
      path: `${this._path}${query}`,
      headers: { ...forwardedHeaders(incoming.headers), 'x-request-id': requestId },
      body: this._body,
    };
  }

  private _record(event: string, detail: Readonly<Record<string, string | number | boolean>>): void {
    const { requestId } = this._request;
    this._parts.context.timeline.record({
      part: 'front',
      event,
      request: requestId,
      detail: { service: this._service, ...detail },
    });
  }
}
