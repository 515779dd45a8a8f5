import * as common from '@jayhaven/common';
import { RouteTable } from './configuration/RouteTable.js';
import type { MetadataStore, TableRecord } from './contracts/index.js';
import type { ChangeTiming, ReplicaDirectory } from './replicas/ReplicaDirectory.js';
import type { TableUpdate } from './replicas/TableSynchronizer.js';
import type { Configuration } from './Types.js';

/** The configuration in force and the replica directory, from records of the store that this daemon or a peer read. */
export class RoutingTables {
  private readonly _onConfiguration = new common.Emitter<Configuration>();
  /** Fires when a newer configuration comes into force. */
  public readonly onConfiguration = this._onConfiguration.event;
  private _routes: RouteTable | undefined;

  public constructor(
    private readonly _store: Pick<MetadataStore, 'decodeConfiguration'>,
    private readonly _directory: ReplicaDirectory,
    private readonly _log: common.Logger,
  ) {}

  /** Routes of the configuration in force; undefined until one is known. */
  public get routes(): RouteTable | undefined {
    return this._routes;
  }

  /**
   * Applies records of a table and returns those that peers need.
   */
  public apply({ table, records, source }: TableUpdate, timing: ChangeTiming): readonly TableRecord[] {
    if (table !== 'configuration') {
      return this._directory.apply(records, timing);
    }
    for (const record of records) {
      this._applyConfiguration(record, source);
    }
    return records;
  }

  private _applyConfiguration({ value, offset }: TableRecord, source: TableUpdate['source']): void {
    const configuration = value === undefined ? undefined : this._store.decodeConfiguration(value);
    const before = this._routes?.configuration.version;
    if (configuration === undefined) {
      this._log.error('The configuration record is unreadable; the previous version stays in force.', {
        offset,
        before,
      });
    } else if (before === undefined || configuration.version > before) {
      this._routes = new RouteTable(configuration);
      this._onConfiguration.fire(configuration);
      this._log.info('Configuration in force.', { version: configuration.version, before, offset, source });
    }
  }
}
