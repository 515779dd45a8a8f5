import type { Address } from '../Types.js';

/** Time without messages from a known leader after which the seeds are tried as well, milliseconds. A takeover takes less. */
const leaderLostMs = 4_000;
/** Time for which a peer that does not lead takes the place of a leader that was not reached, milliseconds. */
const substituteMs = 3_000;

/** Chooses the peer that a daemon connects to: the leader, or a seed while the leader is unknown or lost. */
export class PeerChoice {
  private _leader: Address | undefined;
  private _nextSeedIndex = 0;
  /** True if the last choice was a seed in place of a known leader. */
  private _isSubstitute = false;
  private _chosenMs = Number.NEGATIVE_INFINITY;
  /** When the leader became known or last sent a message, steady milliseconds. */
  private _leaderHeardMs = Number.NEGATIVE_INFINITY;

  public constructor(private readonly _seeds: readonly Address[]) {}

  /** Sets the address of the leader, undefined if there is none to follow; returns whether it has changed. */
  public setLeader(leader: Address | undefined, nowMs: number): boolean {
    const isChanged = leader?.host !== this._leader?.host || leader?.port !== this._leader?.port;
    if (isChanged) {
      this._leader = leader;
      this._leaderHeardMs = nowMs;
      this._isSubstitute = false;
    }
    return isChanged;
  }

  /** The address for the next connection; undefined if no peer is known. */
  public next(nowMs: number): Address | undefined {
    const isLost = nowMs - this._leaderHeardMs >= leaderLostMs;
    this._isSubstitute = this._leader !== undefined && isLost && !this._isSubstitute && this._seeds.length > 0;
    this._chosenMs = nowMs;
    return this._isSubstitute || this._leader === undefined ? this._nextSeed() : this._leader;
  }

  /** Records a message of the chosen peer. `leads` is true if the message says that it leads. */
  public recordMessage(leads: boolean, nowMs: number): void {
    if (leads || !this._isSubstitute) {
      this._isSubstitute = false;
      this._leaderHeardMs = nowMs;
    }
  }

  /** True if the connection to a seed should end, so that the leader is tried again. */
  public isSubstituteExpired(nowMs: number): boolean {
    return this._isSubstitute && nowMs - this._chosenMs >= substituteMs;
  }

  private _nextSeed(): Address | undefined {
    const seed = this._seeds[this._nextSeedIndex % Math.max(this._seeds.length, 1)];
    this._nextSeedIndex += 1;
    return seed;
  }
}
