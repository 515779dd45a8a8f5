import type * as common from '@jayhaven/common';
import type { MetadataStore } from '../contracts/MetadataStore.js';
import { type PositionedRecord, RecordOrder } from './RecordOrder.js';

/** Version of a removed or unreadable configuration, below all others. */
const noVersion = -1;

/**
 * Orders configurations by their versions, which only rise. A store that was restored shows an older configuration until
 * the operators' write is repeated; a confirmed one stays in force meanwhile.
 */
export class ConfigurationOrder extends RecordOrder {
  public readonly spansEras = true;
  private readonly _versions = new WeakMap<PositionedRecord, number>();

  public constructor(
    private readonly _store: Pick<MetadataStore, 'decodeConfiguration'>,
    private readonly _log: common.Logger,
  ) {
    super();
  }

  public supersedes(known: PositionedRecord, candidate: PositionedRecord): boolean {
    const version = this._version(candidate);
    if (version === noVersion) {
      const { offset, era } = candidate;
      this._log.error('The configuration record is missing or unreadable; the previous version stays in force.', {
        offset,
        era,
      });
    }
    return version > this._version(known);
  }

  private _version(record: PositionedRecord): number {
    const decoded = this._versions.get(record);
    if (decoded !== undefined) {
      return decoded;
    }
    const configuration = record.value === undefined ? undefined : this._store.decodeConfiguration(record.value);
    const version = configuration?.version ?? noVersion;
    this._versions.set(record, version);
    return version;
  }
}
