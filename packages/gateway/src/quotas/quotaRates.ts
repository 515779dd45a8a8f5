import type { PermitRate } from '../rateLimits/permitRates.js';
import type { TenantQuota } from '../Types.js';

/** Time for which a credit is valid by both clocks after the message that it answers, milliseconds. */
export const creditLifetimeMs = 700;
/** Time of recent use that a daemon asks for in advance, milliseconds. */
export const spareMs = 500;
/** Requests that a spare credit has to cover. A daemon that uses fewer in `spareMs` would let most of it expire. */
export const minimumSpareRequests = 2;
/**
 * Units that accumulate beyond the burst. Requests of about 1,000 tokens at random times exceed the burst of a small
 * tenant, two such requests, also at half of its rate; the bound on the use of a window allows 7,400.
 */
const extraBurst = { tokens: 5_000, requests: 2 } as const;
/** Share of the rate that all daemons together may use while none of them receives a leader's messages. */
const leaderlessShare = 0.05;
/** Time without a leader for which a daemon continues at the rate of its recent grants, milliseconds. */
export const ownRateMs = 2_000;
/** Time of the handover between two leaders in which no credit is granted, at least, milliseconds. */
const handoverMs = 2_000;

/** Rate at which the leader grants units of a quota, and the largest number that accumulates. */
export function quotaRate({ unit, perSecond, burst }: TenantQuota): PermitRate {
  return { perSecond, capacity: burst + extraBurst[unit] };
}

/** Time in which an empty bucket of a quota fills, milliseconds. */
export function fullAfterMs(quota: TenantQuota): number {
  return (quotaRate(quota).capacity * 1_000) / quota.perSecond;
}

/** Rate of the spare credits of a quota. They may expire unused, so they get only a part of the quota. */
export function spareRate({ perSecond }: TenantQuota): PermitRate {
  return { perSecond: perSecond * 0.3, capacity: perSecond * 0.1 };
}

/** Units a second that one of `daemonCount` daemons without a leader may use beyond the rate of its recent grants. */
export function leaderlessRate({ perSecond }: TenantQuota, daemonCount: number): number {
  return (perSecond * leaderlessShare) / Math.max(daemonCount, 1);
}

/**
 * Units that the daemons together may use without a leader before a leader's term without a charge: the former leader
 * granted nothing in the handover.
 */
export function handoverUnits({ perSecond }: TenantQuota): number {
  return (perSecond * handoverMs) / 1_000;
}

/** Units of waiting requests above which a daemon refuses further ones: not even all of the quota would serve them. */
export function longestQueueUnits(quota: TenantQuota): number {
  const longestHandoverMs = 4_000;
  return quotaRate(quota).capacity + (quota.perSecond * longestHandoverMs) / 1_000;
}
