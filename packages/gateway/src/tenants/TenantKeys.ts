import * as common from '@jayhaven/common';
import type { Configuration } from '../Types.js';
import type { KeyMetrics } from './KeyMetrics.js';
import { KeyTable } from './KeyTable.js';
import type { RevocationSettings } from './Types.js';

/** Maximum number of duplicate keys in a log line; the configuration may list any number. */
const maximumLoggedDuplicates = 16;

/** The API keys of the configuration in force. */
export class TenantKeys {
  private readonly _onChanged = new common.Emitter<undefined>();
  /** Fires when a new configuration has taken effect. */
  public readonly onChanged = this._onChanged.event;
  private _table = new KeyTable({ tenants: [] });

  public constructor(
    public readonly revocation: RevocationSettings,
    public readonly metrics: KeyMetrics,
    private readonly _log: common.Logger,
  ) {}

  public get table(): KeyTable {
    return this._table;
  }

  public apply(configuration: Configuration): void {
    const { version, tenants } = configuration;
    const table = new KeyTable(configuration);
    this._table = table;
    if (table.requiresKeys) {
      this._log.info('API keys in force.', { version, tenants: tenants.length, keys: table.size });
    }
    if (table.duplicates.length > 0) {
      this._log.error('The configuration lists a key for two tenants; it belongs to the first one.', {
        version,
        keys: table.duplicates.length,
        duplicates: table.duplicates.slice(0, maximumLoggedDuplicates),
      });
    }
    this._onChanged.fire(undefined);
  }
}
