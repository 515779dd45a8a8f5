/** Time constant of the rates, milliseconds: short enough to follow the surge of a tenant, which lasts some seconds. */
const rateTimeConstantMs = 4_000;
/** Requests below which a tenant never exceeds its share: a daemon of many sees few requests of each tenant. */
const leastRequests = 3;
/** Multiple of the mean of the tenants from which a tenant exceeds its share, so that equal tenants do not. */
const exceedingFactor = 1.5;
/** Tenants with fewer recent requests count as inactive. */
const negligibleRequests = 0.05;

interface RecentRequests {
  count: number;
  updatedMs: number;
}

/**
 * Recent requests of each tenant for a service at this daemon. While the service is full, tenants that send more than
 * the mean wait at the daemon; the others are sent, as the replicas queue requests of one urgency in order of arrival.
 */
export class TenantShares {
  private readonly _services = new Map<string, Map<string, RecentRequests>>();

  public record(service: string, tenantName: string, nowMs: number): void {
    const tenants = this._services.get(service) ?? new Map<string, RecentRequests>();
    this._services.set(service, tenants);
    tenants.set(tenantName, { count: recentCount(tenants.get(tenantName), nowMs) + 1, updatedMs: nowMs });
  }

  /** True if a tenant sends clearly more than the mean of the tenants that have sent requests recently. */
  public exceedsShare(service: string, tenantName: string | undefined, nowMs: number): boolean {
    const tenants = this._services.get(service);
    const count = recentCount(tenants?.get(tenantName ?? ''), nowMs);
    if (tenants === undefined || count < leastRequests) {
      return false;
    }
    let sum = 0;
    for (const [name, recent] of tenants) {
      const recentRequests = recentCount(recent, nowMs);
      sum += recentRequests;
      if (recentRequests < negligibleRequests) {
        tenants.delete(name);
      }
    }
    return count > (exceedingFactor * sum) / tenants.size;
  }
}

function recentCount(recent: RecentRequests | undefined, nowMs: number): number {
  return recent === undefined ? 0 : recent.count * Math.exp(-(nowMs - recent.updatedMs) / rateTimeConstantMs);
}
