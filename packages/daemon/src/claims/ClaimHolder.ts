import * as decisions from '@jayhaven/decisions';
import type * as common from '@jayhaven/common';
import * as zod from 'zod';
import type { ControlReplica } from '../log/ControlLogReplica.js';
import type { DaemonContext, Peers } from '../Types.js';
import type { ClaimPartitions, ClaimReplica } from './ClaimPartitions.js';
import { partitionOf } from './partitions.js';
import type { AcquireAnswer, AcquireCall, AcquireFailure, ReportAnswer, ReportCall } from './Types.js';

/** Retry time after a failure other than an outage of the log, milliseconds. */
const retryAfterMs = 1000;

const acquireSchema: zod.ZodType<AcquireCall> = zod.object({
  key: zod.string(),
  fingerprint: zod.string(),
  attempt: zod.string(),
  timeoutMs: zod.number(),
});
const reportSchema = zod.object({ body: zod.unknown(), timeoutMs: zod.number() });

/** Decides claims on the keys of the partitions that this daemon holds, by appending them to the claims topics. */
export class ClaimHolder {
  public constructor(
    private readonly _context: DaemonContext,
    private readonly _partitions: ClaimPartitions,
    private readonly _control: ControlReplica,
    peers: Peers,
  ) {
    peers.handle('claims.acquire', (call, caller) => this._handleAcquire(acquireSchema.parse(call), caller));
    for (const method of ['claims.complete', 'claims.release', 'claims.abandon']) {
      peers.handle(method, (call) => this._handleReport(parseReport(call)));
    }
  }

  private async _handleAcquire(call: AcquireCall, sender: common.Incarnation): Promise<AcquireAnswer> {
    const deadlineMs = this._context.now() + call.timeoutMs;
    const replica = await this._replicaOf(call.key, call.timeoutMs);
    if (!replica.ok) {
      return replica.failure;
    }
    const knownAnswer = await this._knownAnswer(replica.value, call, deadlineMs);
    if (knownAnswer) {
      return { kind: 'answered', answer: knownAnswer };
    }
    const { key, fingerprint, attempt } = call;
    const body = { kind: 'claimed', key, fingerprint, attempt, sender } as const;
    const outcome = await replica.value.append(body, deadlineMs - this._context.now());
    if (!outcome.ok) {
      const { failure } = outcome;
      return failure.kind === 'logUnavailable'
        ? acquireFailure(failure.message, failure.retryAfterMs)
        : { ...acquireFailure(failure.message, retryAfterMs), mayTakeEffect: true };
    }
    // Reading the claim back means that the replica has replayed every record before it.
    const answer = decisions.answerFor(replica.value.state, key, fingerprint, attempt);
    return answer ? { kind: 'answered', answer } : acquireFailure('the claim was released at once', retryAfterMs);
  }

  /** The answer if the key is known to be taken, so that no claim record is needed; undefined otherwise. */
  private async _knownAnswer(
    replica: ClaimReplica,
    call: AcquireCall,
    deadlineMs: number,
  ): Promise<decisions.ClaimAnswer | undefined> {
    const { key, fingerprint, attempt } = call;
    const read = (): decisions.ClaimAnswer | undefined => decisions.answerFor(replica.state, key, fingerprint, attempt);
    const first = read();
    if (!first || first.kind === 'granted') {
      return undefined;
    }
    if (first.kind === 'completed') {
      return first;
    }
    // Another holder may have appended a release or a result that is not replayed here yet.
    await replica.catchUp(deadlineMs - this._context.now());
    const entry = replica.state.claims.get(key);
    if (entry?.state === 'running' && entry.attempt !== attempt && (await this._isGone(entry.sender, deadlineMs))) {
      const body = { kind: 'abandoned', key, attempt: entry.attempt } as const;
      await replica.append(body, deadlineMs - this._context.now());
    }
    const second = read();
    return second?.kind === 'granted' ? undefined : second;
  }

  /** Whether an incarnation is known to have left the group, as opposed to a join that is not replayed yet. */
  private async _isGone(sender: common.Incarnation, deadlineMs: number): Promise<boolean> {
    const isJoined = (): boolean => this._control.state.daemons.get(sender)?.state === 'joined';
    if (isJoined()) {
      return false;
    }
    // Its join was appended before its claim, so catching up with the control topic now includes the join.
    return (await this._control.catchUp(deadlineMs - this._context.now())) && !isJoined();
  }

  private async _handleReport(call: ReportCall): Promise<ReportAnswer> {
    const deadlineMs = this._context.now() + call.timeoutMs;
    const { body } = call;
    const replica = await this._replicaOf(body.key, call.timeoutMs);
    if (!replica.ok) {
      return replica.failure;
    }
    const outcome = await replica.value.append(body, deadlineMs - this._context.now());
    if (!outcome.ok) {
      return acquireFailure(outcome.failure.message, retryAfterMs);
    }
    const entry = replica.value.state.claims.get(body.key);
    return { kind: 'replayed', done: isDone(body, entry) };
  }

  private async _replicaOf(key: string, timeoutMs: number): Promise<common.Outcome<ClaimReplica, AcquireFailure>> {
    if (!this._control.isLogAvailable) {
      return { ok: false, failure: acquireFailure('the log is down', retryAfterMs) };
    }
    const partition = partitionOf(key, this._context.settings.platform.claimPartitions);
    const replica = await this._partitions.caughtUpReplica(partition, timeoutMs);
    return replica
      ? { ok: true, value: replica }
      : { ok: false, failure: acquireFailure('the claims topic is not replayed yet', retryAfterMs) };
  }
}

/** Whether the key is in the reported state, because of this report or an earlier copy of it. */
function isDone(body: ReportCall['body'], entry: decisions.ClaimEntry | undefined): boolean {
  const isOwn = entry?.attempt === body.attempt;
  switch (body.kind) {
    case 'completed':
      return isOwn && entry.state === 'completed';
    case 'released':
      return !isOwn;
    case 'abandoned':
      return isOwn && entry.state !== 'running';
  }
}

function parseReport(call: unknown): ReportCall {
  const { body, timeoutMs } = reportSchema.parse(call);
  const parsed = decisions.parseClaimRecord({
    id: { incarnation: 'unused', sequence: 1 },
    clock: { wallMs: 0, counter: 0 },
    body,
  });
  if (!parsed.ok || parsed.value.body.kind === 'claimed') {
    throw new Error('the report is malformed');
  }
  return { body: parsed.value.body, timeoutMs };
}

function acquireFailure(message: string, delayMs: number): AcquireFailure {
  return { kind: 'failed', message, retryAfterMs: delayMs, mayTakeEffect: false };
}
