import { evictOldest } from '../evictOldest.js';
import { AnsweredParts } from './AnsweredParts.js';
import { includesAll, isFirstOfPrompt, partsKey } from './parts.js';
import { isCertain, isSuspected } from './suspicion.js';
import type { CrashReport, PartBlock, SuspectedPart, SuspectsMessage, UnansweredRequest } from './Types.js';

/** Crashes without a trial within this time count as one round, milliseconds: replicas may end together. */
const roundGapMs = 1_000;
/** A suspicion ends after this time without a crash, milliseconds, by the number of rounds. */
const suspicionMs = { oneRound: 30_000, moreRounds: 120_000 } as const;
/**
 * Durations of the first, the second and the longest block, milliseconds. The first is short, because two crashes may
 * coincide; from the second on each is twice as long as the one before.
 */
const blockMs = { first: 60_000, second: 600_000, longest: 6 * 3_600_000 } as const;
/** Bounds on the parts and blocks that are kept, since callers choose the parts. */
const maximumParts = 512;
const maximumBlocks = 256;
/** Crashes that are remembered, so that several reports of one crash count once. */
const maximumCrashes = 256;

interface PartState {
  rounds: number;
  lastCrashMs: number;
  lastRoundMs: number;
  /** Crashes that count against the part. */
  readonly crashes: Set<string>;
  /** The part's block has ended, and its next request is a trial. */
  isOnProbation: boolean;
}

interface BlockState {
  readonly parts: readonly string[];
  readonly untilMs: number;
  readonly repetition: number;
}

/**
 * Decides which parts of prompts, and which requests as a whole, end the replicas that begin to answer them. A crash counts against the parts of the
 * requests that the replica had not answered; an answer on a replica that goes on clears its parts. Parts that remain are
 * tried one request at a time, and blocked after some rounds. A round is the crash of a trial, or any number of crashes
 * without a trial within a second.
 */
export class CrashLedger {
  private readonly _parts = new Map<string, PartState>();
  private readonly _answered = new AnsweredParts();
  private readonly _blocks = new Map<string, BlockState>();
  /** Blocks that have ended. */
  private readonly _pastBlocks = new Map<string, BlockState>();
  /** Accused requests that `decide` has not considered yet. */
  private _undecided: readonly UnansweredRequest[] = [];
  /** Crashes that are explained by a trial or a block; further reports of them accuse no other part. */
  private readonly _explained = new Set<string>();
  private readonly _changedParts = new Set<string>();
  /** Rounds of the suspected parts as of the last `takeChanges`. */
  private readonly _publishedRounds = new Map<string, number>();
  private readonly _changedBlocks = new Set<string>();

  /** Takes over what is known from an earlier leader. */
  public adopt({ suspects, blocks }: Pick<SuspectsMessage, 'suspects' | 'blocks'>, nowMs: number): void {
    for (const { part, rounds } of suspects) {
      const state = this._state(part, nowMs);
      state.rounds = Math.max(state.rounds, rounds);
      this._changedParts.add(part);
    }
    for (const { parts, leftMs, repetition } of blocks) {
      this._addBlock({ parts, untilMs: nowMs + leftMs, repetition });
    }
  }

  /** Records that a replica ended. Several daemons may report the same crash. */
  public recordCrash(report: CrashReport, nowMs: number): void {
    const crash = `${report.replicaId} ${report.bornMs}`;
    const accused = this._accusedRequests(crash, report.requests);
    for (const request of accused) {
      this._accuse(request, crash, nowMs - report.ageMs);
    }
    this._undecided = [...this._undecided, ...accused];
    this._evictParts();
  }

  /** Blocks parts on the crashes since the last call; returns the new blocks. */
  public decide(nowMs: number): readonly PartBlock[] {
    const requests = this._undecided;
    this._undecided = [];
    const candidates = requests
      .map(({ parts }) => this._certainParts(parts, nowMs))
      .filter(({ parts }) => parts.length > 0)
      // The most specific set is blocked first, and then explains the crashes of the others.
      .sort((first, second) => second.rounds - first.rounds || second.parts.length - first.parts.length);
    const [best] = candidates;
    return best === undefined || this._blocks.has(partsKey(best.parts)) ? [] : [this._block(best.parts, nowMs)];
  }

  /** Records that a request with a part was answered on a replica that went on. */
  public recordAnswered(part: string, ageMs: number, nowMs: number): void {
    const before = this._answered.ageMs(part, nowMs);
    if (before === undefined || ageMs < before) {
      this._answered.record([part], nowMs - ageMs);
    }
    const state = this._parts.get(part);
    if (state === undefined) {
      return;
    }
    this._changedParts.add(part);
    if (nowMs - ageMs > state.lastCrashMs) {
      this._parts.delete(part);
    }
  }

  /** Ends suspicions without a crash for long, and turns blocks whose time is over into trials. */
  public expire(nowMs: number): void {
    for (const [part, { rounds, lastCrashMs, isOnProbation }] of this._parts) {
      const lifetimeMs = rounds > 1 ? suspicionMs.moreRounds : suspicionMs.oneRound;
      if (nowMs - lastCrashMs > (isOnProbation ? blockMs.longest : lifetimeMs)) {
        this._parts.delete(part);
        this._changedParts.add(part);
      }
    }
    for (const [key, { parts, untilMs, repetition }] of this._blocks) {
      if (nowMs >= untilMs) {
        this.lift(key);
        this._pastBlocks.set(key, { parts, untilMs, repetition });
        evictOldest(this._pastBlocks, maximumBlocks);
        for (const part of parts) {
          this._startProbation(part, nowMs);
        }
      }
    }
  }

  /** Ends a block. */
  public lift(key: string): void {
    if (this._blocks.delete(key)) {
      this._changedBlocks.add(key);
    }
  }

  /** Keys of the blocks in force. */
  public get blockKeys(): readonly string[] {
    return [...this._blocks.keys()];
  }

  /** Changes since the last call; undefined if there are none. */
  public takeChanges(nowMs: number): SuspectsMessage | undefined {
    const suspects = [...this._changedParts].flatMap((part) => this._publish(part, this._listedRounds(part, nowMs)));
    const blocks = [...this._changedBlocks].flatMap((key) => this._blockOf(key, nowMs) ?? []);
    const lifted = [...this._changedBlocks].filter((key) => !this._blocks.has(key));
    this._changedParts.clear();
    this._changedBlocks.clear();
    const hasChanges = suspects.length + blocks.length + lifted.length > 0;
    return hasChanges ? { whole: false, suspects, blocks, lifted } : undefined;
  }

  private _publish(part: string, rounds: number): readonly SuspectedPart[] {
    if (rounds === (this._publishedRounds.get(part) ?? 0)) {
      return [];
    }
    if (rounds === 0) {
      this._publishedRounds.delete(part);
    } else {
      this._publishedRounds.set(part, rounds);
    }
    return [{ part, rounds }];
  }

  /** All parts that are suspected, and all blocks. */
  public snapshot(nowMs: number): SuspectsMessage {
    const suspects: readonly SuspectedPart[] = [...this._parts.keys()]
      .map((part) => ({ part, rounds: this._listedRounds(part, nowMs) }))
      .filter(({ rounds }) => rounds > 0);
    const blocks = this.blockKeys.flatMap((key) => this._blockOf(key, nowMs) ?? []);
    return { whole: true, suspects, blocks, lifted: [] };
  }

  /** A trial or a request that should have been refused explains a crash; its companions are then not accused. */
  private _accusedRequests(crash: string, requests: readonly UnansweredRequest[]): readonly UnansweredRequest[] {
    const blocked = requests.some(({ parts }) => this._isBlocked(parts));
    const trials = requests.filter(({ isTrial }) => isTrial);
    const isExplained = this._explained.has(crash);
    if (blocked || trials.length > 0) {
      this._explained.add(crash);
      evictOldest(this._explained, maximumCrashes);
    }
    if (blocked) {
      return [];
    }
    return trials.length > 0 || isExplained ? trials : requests;
  }

  private _accuse({ parts, isTrial }: UnansweredRequest, crash: string, crashMs: number): void {
    for (const part of parts) {
      const answeredAgeMs = this._answered.ageMs(part, crashMs);
      const state = this._state(part, crashMs);
      if (state.crashes.has(crash) || (answeredAgeMs !== undefined && answeredAgeMs < 0)) {
        continue;
      }
      state.crashes.add(crash);
      evictOldest(state.crashes, maximumCrashes);
      if (state.rounds === 0 || isTrial || crashMs - state.lastRoundMs >= roundGapMs) {
        state.rounds += 1;
        state.lastRoundMs = crashMs;
      }
      state.lastCrashMs = Math.max(state.lastCrashMs, crashMs);
      this._changedParts.add(part);
    }
  }

  /**
   * Parts of a request that were in the most rounds, if they suffice for a block. If several were, always together, the
   * block applies to requests with all of them, and each remains suspected by itself.
   */
  private _certainParts(
    parts: readonly string[],
    nowMs: number,
  ): { readonly parts: readonly string[]; readonly rounds: number } {
    const roundsOf = (part: string): number => this._parts.get(part)?.rounds ?? 0;
    const certain = parts.filter((part, index) => {
      const answeredAgeMs = this._answered.ageMs(part, nowMs);
      return isCertain({ rounds: roundsOf(part), answeredAgeMs, isFirst: isFirstOfPrompt(part, index) });
    });
    const rounds = Math.max(0, ...certain.map(roundsOf));
    return { parts: rounds === 0 ? [] : parts.filter((part) => roundsOf(part) === rounds), rounds };
  }

  private _block(parts: readonly string[], nowMs: number): PartBlock {
    const past = [...this._pastBlocks.values()].filter((block) => includesAll(block.parts, parts));
    const repetition = Math.max(0, ...past.map((block) => block.repetition)) + 1;
    const leftMs = blockDurationMs(repetition);
    this._addBlock({ parts, untilMs: nowMs + leftMs, repetition });
    return { parts, leftMs, repetition };
  }

  private _addBlock(block: BlockState): void {
    const key = partsKey(block.parts);
    this._blocks.set(key, block);
    this._changedBlocks.add(key);
    for (const oldest of this._blocks.keys()) {
      if (this._blocks.size <= maximumBlocks) {
        return;
      }
      this.lift(oldest);
    }
  }

  /** Forgets parts that were in one round first, so that many parts in one crash do not hide an earlier suspicion. */
  private _evictParts(): void {
    if (this._parts.size <= maximumParts) {
      return;
    }
    const byRounds = [...this._parts].sort(([, first], [, second]) => first.rounds - second.rounds);
    for (const [part] of byRounds.slice(0, this._parts.size - maximumParts)) {
      this._parts.delete(part);
      this._changedParts.add(part);
    }
  }

  private _startProbation(part: string, nowMs: number): void {
    const state = this._state(part, nowMs);
    state.rounds = 1;
    state.lastCrashMs = nowMs;
    state.isOnProbation = true;
    this._changedParts.add(part);
  }

  private _isBlocked(parts: readonly string[]): boolean {
    return [...this._blocks.values()].some((block) => includesAll(parts, block.parts));
  }

  private _listedRounds(part: string, nowMs: number): number {
    const rounds = this._parts.get(part)?.rounds ?? 0;
    const answeredAgeMs = this._answered.ageMs(part, nowMs);
    // The position of the part may differ by request, so the daemons consider it.
    return isSuspected({ rounds, answeredAgeMs, isFirst: false }) ? rounds : 0;
  }

  private _blockOf(key: string, nowMs: number): PartBlock | undefined {
    const block = this._blocks.get(key);
    return block && { parts: block.parts, leftMs: Math.max(block.untilMs - nowMs, 0), repetition: block.repetition };
  }

  private _state(part: string, crashMs: number): PartState {
    const state = this._parts.get(part) ?? {
      rounds: 0,
      lastCrashMs: crashMs,
      lastRoundMs: crashMs,
      crashes: new Set<string>(),
      isOnProbation: false,
    };
    this._parts.set(part, state);
    return state;
  }
}

function blockDurationMs(repetition: number): number {
  return repetition === 1 ? blockMs.first : Math.min(blockMs.second * 2 ** (repetition - 2), blockMs.longest);
}
