import * as crypto from 'node:crypto';
import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import { notExecuted } from '../routing/callerErrors.js';
import type { RetryBudget } from '../routing/RetryBudget.js';
import { callService, forwardedHeaders, type ServiceRequest } from '../routing/ServiceAttempt.js';
import type { ServiceTargets } from '../routing/ServiceTargets.js';
import type * as types from '../Types.js';
import { CallerResponse } from './CallerResponse.js';
import { ClaimedSend } from './ClaimedSend.js';
import type { FrontMetrics } from './FrontMetrics.js';
import type { CallerRequest } from './Types.js';

/** Maximum number of attempts of an idempotent call, or of connection attempts for any other call. */
const maximumAttempts = 3;
const keyPattern = /^[\x21-\x7e]{1,200}$/;

/** Dependencies shared by all service calls. */
export interface ServiceDependencies {
  readonly context: types.DaemonContext;
  readonly log: types.ControlLog;
  readonly claims: types.ClaimsClient;
  readonly targets: ServiceTargets;
  readonly retries: RetryBudget;
  readonly metrics: FrontMetrics;
}

/** Handles one call of a plain service. */
export class ServiceCall {
  private readonly _response: CallerResponse;
  private readonly _service: string;
  private readonly _path: string;
  private _executed: common.Executed = 'no';

  public constructor(
    private readonly _dependencies: ServiceDependencies,
    private readonly _request: CallerRequest,
    private readonly _body: Buffer,
  ) {
    const [, , service = '', ...segments] = _request.path.split('/');
    this._service = service;
    this._path = `/${segments.join('/')}`;
    this._response = new CallerResponse(_dependencies.context, _request, {
      executed: () => this._executed,
      onDrain: () => undefined,
      onEnded: () => undefined,
    });
  }

  /** Runs the call. Resolves with the outcome once the response is written and the result of the call is recorded. */
  public async run(): Promise<string> {
    const { caller, path, deadlineMs } = this._request;
    const settings = decisions.serviceSettings(this._dependencies.log.state, caller.partner, this._service);
    if (!settings) {
      this._response.fail(
        notExecuted(404, 'service_not_found', `service ${JSON.stringify(this._service)} is not configured`),
      );
    } else if (decisions.isAmbiguousPath(path)) {
      this._response.fail(
        notExecuted(400, 'invalid_path', 'the path must not contain empty, dot or encoded slash segments'),
      );
    } else {
      this._dependencies.retries.countRequest();
      const limitMs = this._response.setDeadline(deadlineMs ?? settings.deadlineMs);
      const method = this._request.incoming.method ?? 'GET';
      const repeatable = decisions.isIdempotentRoute(settings.idempotentRoutes, method, this._path);
      this._record('accepted', { repeatable });
      await (repeatable ? this._runRepeatable(limitMs) : this._runAtMostOnce(limitMs));
    }
    return this._response.closed;
  }

  private async _runRepeatable(limitMs: number): Promise<void> {
    const { context, targets, retries, metrics } = this._dependencies;
    const triedTargets = new Set<common.TargetAddress>();
    let reason = 'no target of the service is live';
    for (let attempt = 1; attempt <= maximumAttempts && !this._response.ended; attempt += 1) {
      const target = targets.choose(this._service, triedTargets, context.now());
      if (target === undefined || (attempt > 1 && !retries.withdraw())) {
        break;
      }
      triedTargets.add(target);
      this._record(attempt > 1 ? 'retried' : 'dispatched', { target, attempt });
      const end = await targets.track(target, () =>
        callService(target, this._serviceRequest(), {
          // Half of the remaining time, so that an unresponsive target leaves time for another one.
          timeoutMs: (limitMs - context.now()) / (attempt < maximumAttempts ? 2 : 1),
          beforeWrite: () => this._prepareWrite(),
        }),
      );
      if (end.kind === 'answered') {
        this._executed = 'yes';
        this._response.send(end.response);
        return;
      }
      reason = end.reason;
      metrics.countRetry(end.kind === 'broken' ? 'failed' : 'notConnected');
    }
    const status = this._executed === 'no' ? 503 : 502;
    this._response.fail({
      status,
      type: 'target_failed',
      message: reason,
      executed: this._executed,
      retryAfterMs: 1_000,
    });
  }

  private async _runAtMostOnce(limitMs: number): Promise<void> {
    const key = this._request.incoming.headers['idempotency-key'];
    const refusal = this._checkKey(key);
    if (refusal || typeof key !== 'string') {
      this._response.fail(refusal ?? notExecuted(400, 'idempotency_key_required', 'Idempotency-Key is missing'));
      return;
    }
    const send = new ClaimedSend(this._dependencies, {
      key: `${this._request.caller.partner}/${this._service}/${key}`,
      fingerprint: this._fingerprint(),
      attempt: `${this._dependencies.log.incarnation}/${this._request.requestKey}`,
      limitMs,
      maximumConnectAttempts: maximumAttempts,
      service: this._service,
      request: this._serviceRequest(),
      isResponseEnded: () => this._response.ended,
      onSending: (target) => {
        this._executed = 'unknown';
        this._record('dispatched', { target, attempt: 1 });
      },
    });
    const result = await send.run();
    if (result.kind === 'answered') {
      this._executed = 'yes';
      this._response.send(result.response);
    } else {
      this._executed = result.error.executed;
      this._response.fail(result.error);
    }
    // The result of the call is recorded even if the response already ended at the deadline.
    await send.recorded;
  }

  /** Nothing may be sent after the response has ended, because it may have reported the call as not executed. */
  private _prepareWrite(): boolean {
    if (this._response.ended) {
      return false;
    }
    this._executed = 'unknown';
    return true;
  }

  private _checkKey(key: string | string[] | undefined): ReturnType<typeof notExecuted> | undefined {
    if (key === undefined) {
      const message = 'this call may not be repeated: send an Idempotency-Key';
      return notExecuted(400, 'idempotency_key_required', message);
    }
    if (typeof key !== 'string' || !keyPattern.test(key)) {
      return notExecuted(400, 'invalid_header', 'Idempotency-Key must be 1 to 200 visible ASCII characters');
    }
    const createdMs = decisions.uuidV7Time(key);
    const windowMs = this._dependencies.context.settings.limits.idempotencyWindowMs;
    return createdMs !== undefined && this._dependencies.context.wallNow() - createdMs > windowMs
      ? notExecuted(400, 'idempotency_key_expired', `the key is older than the window of ${windowMs} ms`)
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
    this._dependencies.context.timeline.record({
      part: 'front',
      event,
      request: requestId,
      detail: { service: this._service, ...detail },
    });
  }
}
