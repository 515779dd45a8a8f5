import type { Tenant, TenantQuota } from '../Types.js';

/** Finds the quota of a tenant by name in the configuration in force. */
export class QuotaTable {
  private _tenants: readonly Tenant[] = [];
  private _byName: ReadonlyMap<string, TenantQuota> = new Map();

  /** `_currentTenants` returns the tenants of the configuration in force. */
  public constructor(private readonly _currentTenants: () => readonly Tenant[]) {}

  /** Quota of a tenant; undefined without one. */
  public quotaOf(name: string): TenantQuota | undefined {
    const tenants = this._currentTenants();
    if (tenants !== this._tenants) {
      this._tenants = tenants;
      this._byName = new Map(tenants.flatMap(({ name: one, quota }) => (quota === undefined ? [] : [[one, quota]])));
    }
    return this._byName.get(name);
  }
}
