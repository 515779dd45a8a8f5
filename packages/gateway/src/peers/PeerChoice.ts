import type { Address } from '../Types.js';

/** Chooses the peer that a daemon connects to: the leader, or a seed while the leader is unknown. */
export class PeerChoice {
  private _leader: Address | undefined;
  private _nextSeedIndex = 0;

  public constructor(private readonly _seeds: readonly Address[]) {}

  /** Sets the address of the leader, undefined if there is none to follow; returns whether it has changed. */
  public setLeader(leader: Address | undefined): boolean {
    const isChanged = leader?.host !== this._leader?.host || leader?.port !== this._leader?.port;
    this._leader = leader;
    return isChanged;
  }

  /** The address for the next connection; undefined if no peer is known. */
  public next(): Address | undefined {
    return this._leader ?? this._nextSeed();
  }

  private _nextSeed(): Address | undefined {
    const seed = this._seeds[this._nextSeedIndex % Math.max(this._seeds.length, 1)];
    this._nextSeedIndex += 1;
    return seed;
  }
}
