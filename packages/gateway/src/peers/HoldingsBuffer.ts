import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';

/** Gathers changes of replicas' models, the newest of each replica, until they are sent to all peers in one message. */
export class HoldingsBuffer {
  private _changes = new Map<string, ReplicaHoldings>();

  /** Returns true for the first change since the last message. */
  public add(holdings: ReplicaHoldings): boolean {
    const isFirst = this._changes.size === 0;
    this._changes.set(holdings.replicaId, holdings);
    return isFirst;
  }

  /** Returns the changes and starts anew. */
  public take(): readonly ReplicaHoldings[] {
    const changes = [...this._changes.values()];
    this._changes = new Map();
    return changes;
  }
}
