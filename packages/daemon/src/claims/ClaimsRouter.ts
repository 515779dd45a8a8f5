import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';
import type { ClaimFailure, ClaimRequest, ClaimsClient, DaemonContext, Peers } from '../Types.js';
import { holdersOf, partitionOf } from './partitions.js';
import type { AcquireAnswer, AcquireCall, ReportAnswer, ReportCall } from './Types.js';

/** Ranked members that are asked for one claim. */
const maximumHolders = 3;
/** A holder that does not answer takes at most this share of the time that is left. */
const shareOfTime = 0.5;
const reportTimeoutMs = 5000;
const retryAfterMs = 1000;

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
  zod.object({ kind: zod.literal('failed'), message: zod.string(), retryAfterMs: zod.number() }),
]);
const reportAnswerSchema: zod.ZodType<ReportAnswer> = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('replayed'), done: zod.boolean() }),
  zod.object({ kind: zod.literal('failed'), message: zod.string() }),
]);

/**
 * Asks the holder of a key's partition, and the next ranked members when it cannot be reached. Asking several is safe:
 * all of them append to the same topic, and the same attempt is granted once.
 */
export class ClaimsRouter implements ClaimsClient {
  public constructor(
    private readonly _context: DaemonContext,
    private readonly _peers: Peers,
  ) {}

  public async acquire(request: ClaimRequest): Promise<common.Outcome<decisions.ClaimAnswer, ClaimFailure>> {
    const deadlineMs = this._context.now() + request.timeoutMs;
    const { key, fingerprint, attempt } = request;
    let failure: ClaimFailure = { message: 'no holder can be reached', retryAfterMs };
    for (const holder of this._holders(key)) {
      const timeoutMs = (deadlineMs - this._context.now()) * shareOfTime;
      if (timeoutMs < 1) {
        break;
      }
      const call: AcquireCall = { key, fingerprint, attempt, timeoutMs };
      const outcome = await this._peers.call(holder, 'claims.acquire', call, timeoutMs);
      const answer = outcome.ok ? acquireAnswerSchema.safeParse(outcome.value) : undefined;
      if (answer?.data?.kind === 'answered') {
        return common.succeed(answer.data.answer);
      }
      failure = answer?.data ?? failure;
    }
    return common.fail({ message: failure.message, retryAfterMs: failure.retryAfterMs });
  }

  public async complete(
    key: string,
    attempt: string,
    status: number,
    answer: decisions.StoredAnswer | undefined,
  ): Promise<boolean> {
    const stored = answer === undefined ? {} : { answer };
    return this._report('claims.complete', { kind: 'completed', key, attempt, status, ...stored });
  }

  public async release(key: string, attempt: string): Promise<boolean> {
    return this._report('claims.release', { kind: 'released', key, attempt });
  }

  public async abandon(key: string, attempt: string): Promise<boolean> {
    return this._report('claims.abandon', { kind: 'abandoned', key, attempt });
  }

  private async _report(method: string, body: ReportCall['body']): Promise<boolean> {
    const deadlineMs = this._context.now() + reportTimeoutMs;
    for (const holder of this._holders(body.key)) {
      const timeoutMs = (deadlineMs - this._context.now()) * shareOfTime;
      const outcome = await this._peers.call(holder, method, { body, timeoutMs }, timeoutMs);
      const answer = outcome.ok ? reportAnswerSchema.safeParse(outcome.value) : undefined;
      if (answer?.data?.kind === 'replayed') {
        return answer.data.done;
      }
    }
    return false;
  }

  private _holders(key: string): readonly common.Incarnation[] {
    const partition = partitionOf(key, this._context.settings.platform.claimPartitions);
    return holdersOf(partition, this._peers.members).slice(0, maximumHolders);
  }
}
