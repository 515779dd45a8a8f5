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

  /** Records that a replica does not hold the model, or the adapter, of a request that was sent to it. */
  public record({ id, bornMs, orderSequence }: Replica, modelReference: ModelReference): void {
    const key = entryKey(id, modelReference.model, modelReference.adapter);
    this._entries.delete(key);
    this._entries.set(key, { bornMs, orderSequence });
    evictOldest(this._entries, maximumEntries);
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
    const key = entryKey(replica.id, model, adapter);
    const entry = this._entries.get(key);
    if (entry === undefined) {
      return false;
    }
    if (entry.bornMs === replica.bornMs && replica.orderSequence <= entry.orderSequence) {
      return true;
    }
    this._entries.delete(key);
    return false;
  }
}

function entryKey(replicaId: string, model: string, adapter: string | undefined): string {
  return JSON.stringify([replicaId, model, adapter ?? null]);
}
