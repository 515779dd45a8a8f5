import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';
import type { ClaimFailure, ClaimRequest, ClaimsClient, DaemonContext, Peers } from '../Types.js';
import { holdersOf, partitionOf } from './partitions.js';
import { ReportRetrier } from './ReportRetrier.js';
import type { AcquireAnswer, AcquireCall, AcquireFailure, ReportAnswer, ReportCall } from './Types.js';

/** Maximum number of ranked members that are called for one claim. */
const maximumHolders = 3;
/** Timeout of the call to one holder, as a share of the remaining time. */
const holderTimeShare = 0.5;
const reportTimeoutMs = 5000;
const retryAfterMs = 1000;
/** Failed attempts that are kept; an attempt is claimed again or released within seconds of its failure, if at all. */
const maximumFailedAttempts = 10_000;
const methods = { completed: 'claims.complete', released: 'claims.release', abandoned: 'claims.abandon' } as const;

const claimAnswerSchema: zod.ZodType<decisions.ClaimAnswer> = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('granted') }),
  zod.object({ kind: zod.literal('running') }),
  zod.object({
    kind: zod.literal('completed'),
    status: zod.number(),
    answer: zod.object({ contentType: zod.string(), base64: zod.string() }).exactOptional(),
  }),
  zod.object({ kind: zod.literal('unknown') }),
  zod.object({ kind: zod.literal('mismatch') }),
]);
const acquireAnswerSchema: zod.ZodType<AcquireAnswer> = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('answered'), answer: claimAnswerSchema }),
  zod.object({
    kind: zod.literal('failed'),
    message: zod.string(),
    retryAfterMs: zod.number(),
    mayTakeEffect: zod.boolean(),
  }),
]);
const reportAnswerSchema: zod.ZodType<ReportAnswer> = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('replayed'), done: zod.boolean() }),
  zod.object({ kind: zod.literal('failed'), message: zod.string() }),
]);

/**
 * Sends claims to the holder of a key's partition, and to the next ranked members if it cannot be reached. Calls to
 * several members are safe: all of them append to the same topic, and the same attempt is granted once.
 */
export class ClaimsRouter implements ClaimsClient, AsyncDisposable {
  private readonly _retrier: ReportRetrier;
  /** Failed attempts, and whether their claims may still come into force. */
  private readonly _failedAttempts = new Map<string, boolean>();

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _peers: Peers,
    /** Whether this daemon's `daemonJoined` record is in force; claims of unknown senders count as abandoned. */
    private readonly _isJoined: () => boolean,
  ) {
    this._retrier = new ReportRetrier(_context.now, async (body) => (await this._send(body)) !== undefined);
  }

  public async acquire(request: ClaimRequest): Promise<common.Outcome<decisions.ClaimAnswer, ClaimFailure>> {
    if (this._failedAttempts.get(request.attempt) === true) {
      return common.fail({ message: 'the attempt was given up, and its claim is being released', retryAfterMs });
    }
    const outcome = this._isJoined()
      ? await this._requestClaim(request)
      : acquireFailure('the daemon has not joined yet');
    if (outcome.kind === 'answered') {
      this._failedAttempts.delete(request.attempt);
      return common.succeed(outcome.answer);
    }
    this._recordFailure(request.attempt, outcome.mayTakeEffect);
    if (outcome.mayTakeEffect) {
      this._scheduleReleases(request);
    }
    return common.fail({ message: outcome.message, retryAfterMs: outcome.retryAfterMs });
  }

  public complete(
    key: string,
    attempt: string,
    status: number,
    answer: decisions.StoredAnswer | undefined,
  ): Promise<boolean> {
    const answerField = answer === undefined ? {} : { answer };
    return this._report({ kind: 'completed', key, attempt, status, ...answerField });
  }

  public release(key: string, attempt: string): Promise<boolean> {
    // Nothing was claimed, or the release is scheduled. In an outage, such releases would crowd out results.
    return this._failedAttempts.has(attempt) ? Promise.resolve(true) : this._report({ kind: 'released', key, attempt });
  }

  public abandon(key: string, attempt: string): Promise<boolean> {
    return this._report({ kind: 'abandoned', key, attempt });
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._retrier[Symbol.asyncDispose]();
  }

  private async _requestClaim(request: ClaimRequest): Promise<AcquireAnswer> {
    const deadlineMs = this._context.now() + request.timeoutMs;
    const { key, fingerprint, attempt } = request;
    let failure = acquireFailure('no holder can be reached');
    let mayTakeEffect = false;
    for (const holder of this._holders(key)) {
      const timeoutMs = (deadlineMs - this._context.now()) * holderTimeShare;
      if (timeoutMs < 1) {
        break;
      }
      const call: AcquireCall = { key, fingerprint, attempt, timeoutMs };
      const outcome = await this._peers.call(holder, 'claims.acquire', call, timeoutMs);
      const answer = outcome.ok ? acquireAnswerSchema.safeParse(outcome.value).data : undefined;
      if (answer?.kind === 'answered') {
        return answer;
      }
      failure = answer ?? failure;
      mayTakeEffect ||= answer?.mayTakeEffect ?? (outcome.ok || outcome.failure.kind !== 'refused');
    }
    return { ...failure, mayTakeEffect };
  }

  /**
   * Schedules releases of the key of an attempt that failed although its claim may still come into force. The second
   * release covers a claim record that another holder appends late.
   */
  private _scheduleReleases({ key, attempt }: ClaimRequest): void {
    const body = { kind: 'released', key, attempt } as const;
    const nowMs = this._context.now();
    this._retrier.add({ body, dueAtMs: nowMs });
    this._retrier.add({ body, dueAtMs: nowMs + this._context.settings.owner.orderDeliveryMs });
  }

  private _recordFailure(attempt: string, mayTakeEffect: boolean): void {
    this._failedAttempts.set(attempt, mayTakeEffect);
    const oldest = this._failedAttempts.keys().next().value;
    if (this._failedAttempts.size > maximumFailedAttempts && oldest !== undefined) {
      this._failedAttempts.delete(oldest);
    }
  }

  /** Sends a report, and passes it to the retrier if no holder has replayed it. */
  private async _report(body: ReportCall['body']): Promise<boolean> {
    const done = await this._send(body);
    if (done === undefined) {
      this._retrier.add({ body, dueAtMs: this._context.now() });
    }
    return done ?? false;
  }

  /** Whether the key is in the reported state; `undefined` if no holder has replayed the report. */
  private async _send(body: ReportCall['body']): Promise<boolean | undefined> {
    const deadlineMs = this._context.now() + reportTimeoutMs;
    for (const holder of this._holders(body.key)) {
      const timeoutMs = (deadlineMs - this._context.now()) * holderTimeShare;
      const call: ReportCall = { body, timeoutMs };
      const outcome = await this._peers.call(holder, methods[body.kind], call, timeoutMs);
      const answer = outcome.ok ? reportAnswerSchema.safeParse(outcome.value).data : undefined;
      if (answer?.kind === 'replayed') {
        return answer.done;
      }
    }
    return undefined;
  }

  private _holders(key: string): readonly common.Incarnation[] {
    const partition = partitionOf(key, this._context.settings.platform.claimPartitions);
    return holdersOf(partition, this._peers.members).slice(0, maximumHolders);
  }
}

function acquireFailure(message: string): AcquireFailure {
  return { kind: 'failed', message, retryAfterMs, mayTakeEffect: false };
}
