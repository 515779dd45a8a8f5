import * as common from '@jayhaven/common';
import { AnsweredParts } from './AnsweredParts.js';
import { includesAll, isFirstOfPrompt, partsKey } from './parts.js';
import { isSuspected } from './suspicion.js';
import type { AnsweredPart, PartBlock, PartVerdict, SuspectedPart, SuspectsMessage } from './Types.js';

/** Time for which a daemon itself suspects the parts of an unanswered request, until the leader does, milliseconds. */
const ownSuspicionMs = 1_500;
/** Time within which a request must use a granted trial, milliseconds. */
const grantMs = 300;
/** A requested trial is requested again after this time, milliseconds: the leader may have changed. */
const requestAgainMs = 500;
/** Parts that a daemon suspects at most. */
const maximumOwnSuspicions = 256;

interface BlockEntry {
  readonly block: PartBlock;
  /** End of the block, steady milliseconds. */
  readonly untilMs: number;
}

/**
 * What one daemon knows of the parts that end replicas: the leader's suspicions and blocks, its own suspicions until the
 * leader has answered, the answers of its own requests, and the trials that it may send.
 */
export class CrashGuard {
  private readonly _rounds = new Map<string, number>();
  private readonly _blocks = new Map<string, BlockEntry>();
  private readonly _answered = new AnsweredParts();
  /** End of the daemon's own suspicion by part, steady milliseconds. */
  private readonly _ownSuspicions = new Map<string, number>();
  /** Granted trials by the key of their parts: the time until which they may be used, steady milliseconds. */
  private readonly _grants = new Map<string, number>();
  private readonly _requestedMs = new Map<string, number>();
  private readonly _onChanged = new common.Emitter<undefined>();
  /** Fires when requests may have to be decided on again. */
  public readonly onChanged = this._onChanged.event;
  private readonly _onAnswered = new common.Emitter<readonly AnsweredPart[]>();
  /** Fires with parts that the leader suspects and that have been answered here. */
  public readonly onAnswered = this._onAnswered.event;
  private readonly _onTrialRequested = new common.Emitter<readonly string[]>();
  /** Fires with the suspected parts of a request that waits for a trial. */
  public readonly onTrialRequested = this._onTrialRequested.event;
  private readonly _onTrialEnded = new common.Emitter<readonly string[]>();
  /** Fires when a granted trial has ended or was not used. */
  public readonly onTrialEnded = this._onTrialEnded.event;

  /** Decides on a request by its parts. */
  public check(parts: readonly string[], nowMs: number): PartVerdict {
    const blocked = this._blockFor(parts, nowMs);
    if (blocked !== undefined) {
      return { kind: 'blocked', parts: blocked.block.parts, leftMs: blocked.untilMs - nowMs };
    }
    const suspected = parts.filter((part, index) => this._isSuspected(part, isFirstOfPrompt(part, index), nowMs));
    return suspected.length === 0 ? { kind: 'free' } : { kind: 'suspected', parts: suspected };
  }

  /** True if a trial of the parts may be sent. */
  public hasGrant(parts: readonly string[], nowMs: number): boolean {
    return (this._grants.get(partsKey(parts)) ?? 0) > nowMs;
  }

  /** Requests a trial of the parts; false if one has just been requested. */
  public requestTrial(parts: readonly string[], nowMs: number): boolean {
    const key = partsKey(parts);
    const requestedMs = this._requestedMs.get(key);
    if (requestedMs !== undefined && nowMs - requestedMs < requestAgainMs) {
      return false;
    }
    this._requestedMs.set(key, nowMs);
    this._onTrialRequested.fire(parts);
    return true;
  }

  /** Allows one trial of the parts. It counts as ended if no request uses it in time. */
  public grantTrial(parts: readonly string[], nowMs: number): void {
    const key = partsKey(parts);
    this._requestedMs.delete(key);
    this._grants.set(key, nowMs + grantMs);
    this._onChanged.fire(undefined);
    if (this._grants.delete(key)) {
      // No waiting request needed it.
      this._onTrialEnded.fire(parts);
    }
  }

  /** Uses a granted trial. `endTrial` must be called once the request has ended. */
  public startTrial(parts: readonly string[]): void {
    this._grants.delete(partsKey(parts));
  }

  public endTrial(parts: readonly string[]): void {
    this._onTrialEnded.fire(parts);
  }

  /** Records that a request was answered on a replica that went on. */
  public recordAnswered(parts: readonly string[], nowMs: number): void {
    this._answered.record(parts, nowMs);
    const suspected = parts.filter((part) => this._ownSuspicions.delete(part) || this._rounds.has(part));
    if (suspected.length > 0) {
      this._onAnswered.fire(suspected.map((part) => ({ part, ageMs: 0 })));
    }
  }

  /** Suspects the parts of an unanswered request until the leader has answered, or until `clearOwnSuspicions`. */
  public suspect(parts: readonly string[], nowMs: number): void {
    for (const part of parts) {
      if (this._ownSuspicions.size < maximumOwnSuspicions) {
        this._ownSuspicions.set(part, nowMs + ownSuspicionMs);
      }
    }
  }

  /** Withdraws the daemon's own suspicion, because the replica has not ended. */
  public clearOwnSuspicions(parts: readonly string[]): void {
    for (const part of parts) {
      this._ownSuspicions.delete(part);
    }
    this._onChanged.fire(undefined);
  }

  /** Applies what the leader knows, and tells it of answers that it may lack. */
  public apply({ whole, suspects, blocks, lifted }: SuspectsMessage, nowMs: number): void {
    if (whole) {
      this._rounds.clear();
      this._blocks.clear();
    }
    for (const key of lifted) {
      this._blocks.delete(key);
    }
    for (const block of blocks) {
      this._blocks.set(partsKey(block.parts), { block, untilMs: nowMs + block.leftMs });
    }
    const answered = suspects.flatMap((suspect) => this._applySuspect(suspect, nowMs));
    if (answered.length > 0) {
      this._onAnswered.fire(answered);
    }
    this._onChanged.fire(undefined);
  }

  /** What a new leader takes over. */
  public snapshot(nowMs: number): SuspectsMessage {
    const suspects = [...this._rounds].map(([part, rounds]) => ({ part, rounds }));
    const blocks = [...this._blocks.values()]
      .map(({ block, untilMs }) => ({ ...block, leftMs: untilMs - nowMs }))
      .filter(({ leftMs }) => leftMs > 0);
    return { whole: true, suspects, blocks, lifted: [] };
  }

  /** Numbers of suspected parts and of blocks. */
  public get counts(): { readonly suspected: number; readonly blocked: number } {
    return { suspected: this._rounds.size, blocked: this._blocks.size };
  }

  /** Drops what is out of date. */
  public expire(nowMs: number): void {
    dropExpired(this._ownSuspicions, nowMs);
    dropExpired(this._grants, nowMs);
    for (const [key, requestedMs] of this._requestedMs) {
      if (nowMs - requestedMs > requestAgainMs) {
        this._requestedMs.delete(key);
      }
    }
  }

  /** Applies the leader's suspicion of a part; returns the answer to it that this daemon knows of. */
  private _applySuspect({ part, rounds }: SuspectedPart, nowMs: number): readonly AnsweredPart[] {
    this._ownSuspicions.delete(part);
    if (rounds === 0) {
      this._rounds.delete(part);
      return [];
    }
    this._rounds.set(part, rounds);
    const ageMs = this._answered.ageMs(part, nowMs);
    return ageMs === undefined ? [] : [{ part, ageMs }];
  }

  private _blockFor(parts: readonly string[], nowMs: number): BlockEntry | undefined {
    for (const entry of this._blocks.values()) {
      if (entry.untilMs > nowMs && includesAll(parts, entry.block.parts)) {
        return entry;
      }
    }
    return undefined;
  }

  private _isSuspected(part: string, isFirst: boolean, nowMs: number): boolean {
    const isOwn = (this._ownSuspicions.get(part) ?? 0) > nowMs;
    const rounds = Math.max(this._rounds.get(part) ?? 0, isOwn ? 1 : 0);
    return isSuspected({ rounds, answeredAgeMs: this._answered.ageMs(part, nowMs), isFirst });
  }
}

function dropExpired(untilMs: Map<string, number>, nowMs: number): void {
  for (const [key, endMs] of untilMs) {
    if (endMs <= nowMs) {
      untilMs.delete(key);
    }
  }
}
