/**
 * Share of a limit for which the leader grants permits. The rest covers daemons that do not hear the leader and send
 * their leaderless share meanwhile.
 */
const grantedShare = 0.9;
/** Share of a limit that all daemons together may use while none of them hears a leader. */
const leaderlessShare = 0.3;
/** Smallest rate at which permits are issued, requests per second. Without any request no one learns that a limit ended. */
const minimumPerSecond = 0.25;
/** Permits that may accumulate while there is no demand: a number, and the grants of a time, milliseconds. */
const burst = { permits: 3, grantsMs: 200 } as const;

/**
 * Time for which a permit is valid, milliseconds, from the report that it answers. It also bounds what a daemon that was
 * suspended, or a message that was delayed, adds to the requests of a later window.
 */
export const permitLifetimeMs = 1_000;
/** Time for which a permit that a daemon without a leader issues to itself is valid, milliseconds. */
export const leaderlessLifetimeMs = 500;

/** Rate of the leader's permits for a replica and the largest number that accumulates. */
export interface PermitRate {
  readonly perSecond: number;
  readonly capacity: number;
}

/** Rate at which the leader grants permits for a replica with a limit of `limitPerSecond`. */
export function grantedRate(limitPerSecond: number): PermitRate {
  const perSecond = Math.max(limitPerSecond * grantedShare, minimumPerSecond);
  return { perSecond, capacity: burst.permits + (perSecond * burst.grantsMs) / 1_000 };
}

/** Time between two permits that one of `daemonCount` daemons without a leader issues to itself, milliseconds. */
export function leaderlessSpacingMs(limitPerSecond: number, daemonCount: number): number {
  const perSecond = Math.max(limitPerSecond * leaderlessShare, minimumPerSecond * leaderlessShare);
  return (1_000 * Math.max(daemonCount, 1)) / perSecond;
}
