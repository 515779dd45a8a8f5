import type { Configuration, Tenant } from '../Types.js';

/** A key that a configuration lists for two tenants. It belongs to `tenant`, the first one. */
export interface DuplicateKey {
  readonly tenant: string;
  readonly otherTenant: string;
}

/** The tenants of one configuration by the digests of their keys. */
export class KeyTable {
  /** False if requests need no keys. */
  public readonly requiresKeys: boolean;
  public readonly duplicates: readonly DuplicateKey[];
  private readonly _tenants = new Map<string, Tenant>();

  public constructor({ tenants, requiresKeys }: Pick<Configuration, 'tenants' | 'requiresKeys'>) {
    this.requiresKeys = requiresKeys ?? tenants.length > 0;
    this.duplicates = tenants.flatMap((tenant) => tenant.keyDigests.flatMap((digest) => this._add(digest, tenant)));
  }

  /** Number of keys. */
  public get size(): number {
    return this._tenants.size;
  }

  /** Tenant that the key with a digest belongs to; undefined if the key is unknown. */
  public find(digest: string): Tenant | undefined {
    return this._tenants.get(digest);
  }

  private _add(digest: string, tenant: Tenant): readonly DuplicateKey[] {
    const first = this._tenants.get(digest);
    if (first === undefined) {
      this._tenants.set(digest, tenant);
    }
    return first === undefined || first.name === tenant.name ? [] : [{ tenant: first.name, otherTenant: tenant.name }];
  }
}
