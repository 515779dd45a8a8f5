import type { QuotaAsk } from './Types.js';

/** True if a received message is a request for quota. Any client can connect to the port for peers. */
export function isQuotaAsk(message: unknown): message is QuotaAsk {
  if (!isObject(message)) {
    return false;
  }
  const { daemon, incarnation, sequence, tenants, usedAlone } = message;
  return (
    typeof daemon === 'string' &&
    isCount(incarnation) &&
    isCount(sequence) &&
    Array.isArray(tenants) &&
    tenants.every(isTenantAsk) &&
    (usedAlone === undefined || (isObject(usedAlone) && Object.values(usedAlone).every(isCount)))
  );
}

function isTenantAsk(item: unknown): boolean {
  if (!isObject(item)) {
    return false;
  }
  const { tenant, units, spare } = item;
  const isSpare = spare === undefined || isCount(spare);
  return typeof tenant === 'string' && Array.isArray(units) && units.every(isCount) && isSpare;
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isCount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
