import * as timers from 'node:timers/promises';
import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import { notExecuted } from '../routing/callerErrors.js';
import { callService, type ServiceResponse, type ServiceRequest } from '../routing/ServiceAttempt.js';
import type { ServiceTargets } from '../routing/ServiceTargets.js';
import type { CallerError } from '../routing/Types.js';
import type { ClaimsClient, DaemonContext } from '../Types.js';
import type { FrontMetrics } from './FrontMetrics.js';

/** Largest response that is stored with a claim, bytes. */
const maximumStoredBytes = 4 * 1024;
/** Timeout for acquiring a claim, milliseconds. */
const acquireTimeoutMs = 5_000;
/** Time after the deadline for a call that was sent to finish, so that its result is recorded, milliseconds. */
const resultGraceMs = 30_000;
/** Longest delay of a response until its result is recorded, milliseconds. */
const maximumRecordWaitMs = 1_000;
/** Number of attempts to record a result, and the pause between them. */
const maximumRecordAttempts = 5;
const recordPauseMs = 500;
/** Retry delay sent to callers while a call is running or no target is available, milliseconds. */
const runningRetryMs = 1_000;

/** A call that must run at most once. */
export interface ClaimedCall {
  /** `<partner>/<service>/<caller's key>`. */
  readonly key: string;
  readonly fingerprint: string;
  readonly attempt: string;
  readonly service: string;
  readonly request: ServiceRequest;
  /** Monotonic time at which the caller's response ends. */
  readonly limitMs: number;
  /** Maximum number of targets to which a connection is attempted. */
  readonly maximumConnectAttempts: number;
  /** Whether the caller's response has ended; then nothing may be sent to a target. */
  readonly isResponseEnded: () => boolean;
  /** Called just before the first byte is written to the target. */
  readonly onSending: (target: common.TargetAddress) => void;
}

/** The response or error for the caller. */
export type ClaimedResult =
  | { readonly kind: 'answered'; readonly response: ServiceResponse }
  | { readonly kind: 'refused'; readonly error: CallerError };

/** Dependencies of `ClaimedSend`. */
export interface ClaimedSendDependencies {
  readonly context: DaemonContext;
  readonly claims: ClaimsClient;
  readonly targets: ServiceTargets;
  readonly metrics: FrontMetrics;
}

/** Sends a call at most once, protected by a claim on its idempotency key. */
export class ClaimedSend {
  /** Resolves when the result of the call is recorded with the claim or all attempts to record it have failed. */
  private _recorded: Promise<void> = Promise.resolve();

  public constructor(
    private readonly _dependencies: ClaimedSendDependencies,
    private readonly _call: ClaimedCall,
  ) {}

  public get recorded(): Promise<void> {
    return this._recorded;
  }

  /** Acquires the claim and sends the call, or returns the result of an earlier call with the same key. */
  public async run(): Promise<ClaimedResult> {
    const { key, fingerprint, attempt, limitMs } = this._call;
    const timeoutMs = Math.max(1, Math.min(acquireTimeoutMs, limitMs - this._dependencies.context.now()));
    const claim = await this._dependencies.claims.acquire({ key, fingerprint, attempt, timeoutMs });
    if (!claim.ok) {
      // The claim may still take effect. This attempt sends nothing, so the key can be released.
      this._startRecording(() => this._dependencies.claims.release(key, attempt));
      return refused(notExecuted(503, 'claim_unavailable', claim.failure.message, claim.failure.retryAfterMs));
    }
    return claim.value.kind === 'granted' ? this._send() : resultOfEarlierCall(claim.value);
  }

  private async _send(): Promise<ClaimedResult> {
    const { claims, context, metrics, targets } = this._dependencies;
    const { key, attempt, service, maximumConnectAttempts, request, limitMs } = this._call;
    const triedTargets = new Set<common.TargetAddress>();
    let reason = 'no target of the service is live';
    while (triedTargets.size < maximumConnectAttempts && !this._call.isResponseEnded()) {
      const target = targets.choose(service, triedTargets, context.now());
      if (target === undefined) {
        break;
      }
      triedTargets.add(target);
      const end = await targets.track(target, () =>
        callService(target, request, {
          timeoutMs: limitMs - context.now() + resultGraceMs,
          beforeWrite: () => this._prepareWrite(target),
        }),
      );
      if (end.kind === 'answered') {
        return this._handleResponse(end.response);
      }
      if (end.kind === 'broken') {
        this._startRecording(() => claims.abandon(key, attempt));
        return refused(outcomeUnknown(502, `the call was sent, but its outcome is unknown: ${end.reason}`));
      }
      metrics.countRetry('notConnected');
      reason = end.reason;
    }
    this._startRecording(() => claims.release(key, attempt));
    return refused(notExecuted(503, 'target_unavailable', reason, runningRetryMs));
  }

  private _prepareWrite(target: common.TargetAddress): boolean {
    if (this._call.isResponseEnded()) {
      return false;
    }
    this._call.onSending(target);
    return true;
  }

  private async _handleResponse(response: ServiceResponse): Promise<ClaimedResult> {
    const { claims, context } = this._dependencies;
    const { key, attempt, limitMs } = this._call;
    this._startRecording(() => claims.complete(key, attempt, response.status, storedAnswer(response)));
    // A repeated call after this response should find the result, but a slow log must not delay the response for long.
    const waitMs = Math.max(0, Math.min(maximumRecordWaitMs, limitMs - context.now() - recordPauseMs));
    const stop = new AbortController();
    const waited = timers.setTimeout(waitMs, undefined, { signal: stop.signal }).catch(() => undefined);
    await Promise.race([this._recorded, waited]);
    stop.abort();
    return { kind: 'answered', response };
  }

  private _startRecording(write: () => Promise<boolean>): void {
    this._recorded = this._writeResult(write);
  }

  private async _writeResult(write: () => Promise<boolean>): Promise<void> {
    for (let attempt = 1; attempt <= maximumRecordAttempts; attempt += 1) {
      const written = await write().catch(() => false);
      if (written) {
        return;
      }
      if (attempt < maximumRecordAttempts) {
        await timers.setTimeout(recordPauseMs);
      }
    }
    this._dependencies.context.logger.warn('the result of a claim could not be recorded', { key: this._call.key });
  }
}

function storedAnswer(response: ServiceResponse): decisions.StoredAnswer | undefined {
  const contentType = response.headers['content-type'];
  return response.body.length <= maximumStoredBytes
    ? {
        contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
        base64: response.body.toString('base64'),
      }
    : undefined;
}

function resultOfEarlierCall(claim: Exclude<decisions.ClaimAnswer, { kind: 'granted' }>): ClaimedResult {
  switch (claim.kind) {
    case 'running': {
      const message = 'a call with this Idempotency-Key is running';
      return refused({ status: 409, type: 'running', message, executed: 'unknown', retryAfterMs: runningRetryMs });
    }
    case 'unknown':
      return refused(outcomeUnknown(409, 'an earlier call with this Idempotency-Key may have run'));
    case 'mismatch':
      return refused(notExecuted(422, 'idempotency_key_mismatch', 'the Idempotency-Key belongs to a different call'));
    case 'completed':
      return { kind: 'answered', response: replayedResponse(claim.status, claim.answer) };
  }
}

function replayedResponse(status: number, stored: decisions.StoredAnswer | undefined): ServiceResponse {
  const note = { note: 'the call has run; its answer was too large to be stored', status };
  const body = stored ? Buffer.from(stored.base64, 'base64') : Buffer.from(JSON.stringify(note));
  const contentType = stored?.contentType ?? 'application/json';
  return { status, headers: { 'content-type': contentType, 'idempotency-replayed': 'true' }, body };
}

function outcomeUnknown(status: number, message: string): CallerError {
  return { status, type: 'outcome_unknown', message, executed: 'unknown' };
}

function refused(error: CallerError): ClaimedResult {
  return { kind: 'refused', error };
}
