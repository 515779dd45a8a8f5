import { evictOldest } from '../evictOldest.js';
import type { ModelReference, Replica } from '../Types.js';

/** Largest number of models and adapters kept as absent. */
const maximumEntries = 4_096;

/** The record of a replica at the time of a send. */
type RecordVersion = Pick<Replica, 'bornMs' | 'orderSequence'>;

/**
 * Models and adapters that replicas have answered not to hold, although their records or the leader's messages say that
 * they do. An answer counts until a later record of the replica: one with a higher order sequence, or of a new start.
 */
export class AbsentModels {
  private readonly _entries = new Map<string, RecordVersion>();

  /**
   * Records that a replica does not hold the model, or the adapter, of a request that was sent to it. Returns false if
   * this was known.
   */
  public record(replica: Replica, modelReference: ModelReference): boolean {
    if (this.isAbsent(replica, modelReference)) {
      return false;
    }
    const { id, bornMs, orderSequence } = replica;
    this._entries.set(entryKey(id, modelReference.model, modelReference.adapter), { bornMs, orderSequence });
    evictOldest(this._entries, maximumEntries);
    return true;
  }

  /** True if the replica has answered that it does not hold the model or adapter, and has no later record. */
  public isAbsent(replica: Replica, modelReference: ModelReference | undefined): boolean {
    if (modelReference === undefined || this._entries.size === 0) {
      return false;
    }
    const { model, adapter } = modelReference;
    return (
      this._isAbsent(replica, model, undefined) || (adapter !== undefined && this._isAbsent(replica, model, adapter))
    );
  }

  private _isAbsent(replica: Replica, model: string, adapter: string | undefined): boolean {
    const entry = this._entries.get(entryKey(replica.id, model, adapter));
    return entry?.bornMs === replica.bornMs && replica.orderSequence <= entry.orderSequence;
  }
}

function entryKey(replicaId: string, model: string, adapter: string | undefined): string {
  return JSON.stringify([replicaId, model, adapter ?? null]);
}
