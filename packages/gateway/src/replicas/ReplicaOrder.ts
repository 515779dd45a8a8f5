import type { MetadataStore } from '../contracts/MetadataStore.js';
import type { Replica } from '../Types.js';
import { type PositionedRecord, RecordOrder } from './RecordOrder.js';

/**
 * Orders records of replicas by offset within an era. Across eras the later one counts, unless its record describes an
 * earlier state of the same replica: then the store shows an older copy, which the replica itself will replace.
 */
export class ReplicaOrder extends RecordOrder {
  public readonly spansEras = false;

  public constructor(private readonly _store: Pick<MetadataStore, 'decodeReplica'>) {
    super();
  }

  public supersedes(known: PositionedRecord, candidate: PositionedRecord): boolean {
    if (candidate.era !== known.era) {
      return candidate.era > known.era && !this._isEarlierState(candidate, known);
    }
    // A peer may know more of the replica than the copy that the store shows at the same offset.
    const isSame = candidate.offset === known.offset;
    return isSame ? this._isEarlierState(known, candidate) : candidate.offset > known.offset;
  }

  /** True if the first record describes an earlier state of the replica than the second one. */
  private _isEarlierState(first: PositionedRecord, second: PositionedRecord): boolean {
    const earlier = this._decode(first);
    const later = this._decode(second);
    return earlier !== undefined && later !== undefined && isEarlierState(earlier, later);
  }

  private _decode({ key, value }: PositionedRecord): Replica | undefined {
    return value === undefined ? undefined : this._store.decodeReplica(key, value);
  }
}

function isEarlierState(first: Replica, second: Replica): boolean {
  if (first.bornMs !== second.bornMs) {
    return first.bornMs < second.bornMs;
  }
  const leaves = first.state === 'ready' && second.state === 'draining';
  return leaves || first.orderSequence < second.orderSequence;
}
