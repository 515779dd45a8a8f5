import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';

/** Buffers changes of replicas' models, the newest of each replica, until one message sends them to all peers. */
export class HoldingsBuffer {
  private _changes = new Map<string, ReplicaHoldings>();

  /** Returns true if the buffer was empty before. */
  public add(holdings: ReplicaHoldings): boolean {
    const isFirst = this._changes.size === 0;
    this._changes.set(holdings.replicaId, holdings);
    return isFirst;
  }

  /** Returns the buffered changes and empties the buffer. */
  public take(): readonly ReplicaHoldings[] {
    const changes = [...this._changes.values()];
    this._changes = new Map();
    return changes;
  }
}
