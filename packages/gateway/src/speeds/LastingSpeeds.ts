import type { SlownessByReplica } from './Types.js';

/** Slowness of replicas as the leader last sent it. It lasts, so it stays in use while there is no leader. */
export class LastingSpeeds {
  private readonly _slowness = new Map<string, number>();

  /** Applies the leader's estimates; replicas that are left out are unchanged. */
  public apply(slowness: SlownessByReplica): void {
    for (const [replicaId, factor] of Object.entries(slowness)) {
      if (Number.isFinite(factor) && factor > 0) {
        this._slowness.set(replicaId, factor);
      }
    }
  }

  /** All estimates in use. */
  public get all(): SlownessByReplica {
    return Object.fromEntries(this._slowness);
  }

  /**
   * How much longer work takes on a replica than in the mean; undefined if the leader has sent nothing for it, as for a
   * replica close to the mean and for services without streams.
   */
  public slowness(replicaId: string): number | undefined {
    return this._slowness.get(replicaId);
  }

  /** Removes replicas that are gone. */
  public retain(isKnown: (replicaId: string) => boolean): void {
    for (const replicaId of this._slowness.keys()) {
      if (!isKnown(replicaId)) {
        this._slowness.delete(replicaId);
      }
    }
  }
}
