import type * as common from '@jayhaven/common';
import { CrashLedger } from './CrashLedger.js';
import { partsKey } from './parts.js';
import { TrialQueue } from './TrialQueue.js';
import type { AnsweredPart, CrashReport, PartBlock, SuspectsMessage } from './Types.js';

/** Changes within this time are sent together, milliseconds: a crash is reported by many daemons at once. */
const gatherMs = 10;

/** What the leader sends. */
export interface CrashLeaderLinks<Peer> {
  broadcast(message: SuspectsMessage): void;
  grantTrial(peer: Peer, parts: readonly string[]): void;
  /** Stores a block, or removes it if `block` is undefined. */
  store(key: string, block: PartBlock | undefined): void;
  schedule(callback: () => void, delayMs: number): void;
}

/** The leader's side: gathers the reports of all daemons, decides on parts, and grants trials. Idle on other daemons. */
export class CrashLeader<Peer> {
  private _ledger = new CrashLedger();
  private readonly _trials = new TrialQueue<Peer>();
  private _isLeading = false;
  private _isScheduled = false;

  public constructor(
    private readonly _links: CrashLeaderLinks<Peer>,
    private readonly _nowMs: () => number,
    private readonly _log: common.Logger,
  ) {}

  public get isLeading(): boolean {
    return this._isLeading;
  }

  /** Begins to lead with what this daemon knows from the leader before. */
  public start(known: SuspectsMessage): void {
    this._isLeading = true;
    this._ledger = new CrashLedger();
    this._ledger.adopt(known, this._nowMs());
    this._trials.clear();
    this._publish();
  }

  public stop(): void {
    this._isLeading = false;
  }

  /** Everything that is suspected or blocked, for a daemon that joins. */
  public snapshot(): SuspectsMessage {
    return this._ledger.snapshot(this._nowMs());
  }

  public applyCrash(report: CrashReport): void {
    if (!this._isLeading) {
      return;
    }
    this._ledger.recordCrash(report, this._nowMs());
    if (report.requests.some(({ isTrial }) => isTrial)) {
      // Before the next trial of these parts is granted.
      this._decide();
    }
    this._schedulePublish();
  }

  public applyAnswered(parts: readonly AnsweredPart[]): void {
    if (this._isLeading) {
      for (const { part, ageMs } of parts) {
        this._ledger.recordAnswered(part, ageMs, this._nowMs());
      }
      this._schedulePublish();
    }
  }

  /** Takes over what a daemon knows from an earlier leader, or blocks that one stored. */
  public applyKnown({ suspects, blocks }: Pick<SuspectsMessage, 'suspects' | 'blocks'>): void {
    if (this._isLeading) {
      const known = new Set(this._ledger.blockKeys);
      const missing = blocks.filter(({ parts }) => !known.has(partsKey(parts)));
      this._ledger.adopt({ suspects, blocks: missing }, this._nowMs());
      this._schedulePublish();
    }
  }

  /** Ends the blocks that are no longer stored: an operator has removed them. */
  public liftUnless(isStored: (key: string) => boolean): void {
    for (const key of this._isLeading ? this._ledger.blockKeys : []) {
      if (!isStored(key)) {
        this._log.info('Lifted a block: its record was removed.', { key });
        this._ledger.lift(key);
      }
    }
    this._schedulePublish();
  }

  /** Stores all blocks again, after a restore of the store has lost the latest ones. */
  public storeAgain(): void {
    for (const block of this._isLeading ? this.snapshot().blocks : []) {
      this._links.store(partsKey(block.parts), block);
    }
  }

  public requestTrial(peer: Peer, parts: readonly string[]): void {
    if (this._isLeading) {
      this._trials.request(peer, parts);
      this._grantTrials();
    }
  }

  public endTrial(peer: Peer, parts: readonly string[]): void {
    this._trials.end(peer, parts);
    this._grantTrials();
  }

  public removePeer(peer: Peer): void {
    this._trials.remove(peer);
    this._grantTrials();
  }

  /** Ends what is out of date. Called several times a second. */
  public tick(): void {
    if (!this._isLeading) {
      return;
    }
    const nowMs = this._nowMs();
    const before = this._ledger.blockKeys;
    this._ledger.expire(nowMs);
    const after = new Set(this._ledger.blockKeys);
    for (const key of before.filter((one) => !after.has(one))) {
      this._log.info('A block has ended; the next request is a trial.', { key });
      this._links.store(key, undefined);
    }
    this._trials.expire(nowMs);
    this._grantTrials();
    this._publish();
  }

  private _grantTrials(): void {
    for (const { peer, parts } of this._isLeading ? this._trials.takeGrants(this._nowMs()) : []) {
      this._links.grantTrial(peer, parts);
    }
  }

  private _schedulePublish(): void {
    if (!this._isScheduled) {
      this._isScheduled = true;
      this._links.schedule(() => {
        this._isScheduled = false;
        this._publish();
      }, gatherMs);
    }
  }

  private _decide(): void {
    for (const block of this._ledger.decide(this._nowMs())) {
      this._log.warn('Blocked prompt parts that end replicas.', { ...block });
      this._links.store(partsKey(block.parts), block);
    }
  }

  private _publish(): void {
    this._decide();
    const changes = this._isLeading ? this._ledger.takeChanges(this._nowMs()) : undefined;
    if (changes !== undefined) {
      this._logSuspects(changes);
      this._links.broadcast(changes);
    }
  }

  private _logSuspects({ suspects }: SuspectsMessage): void {
    const [first, ...others] = suspects.filter(({ rounds }) => rounds > 0);
    if (first !== undefined) {
      this._log.info('Prompt parts are suspected of ending replicas.', { suspects: [first, ...others].slice(0, 16) });
    }
  }
}
