import type { MemoryHolder, ReleaseReason } from './Types.js';

/** Bytes up to which a client counts as ordinary: nearly all requests are smaller. */
const ordinaryBytes = 64 * 1024;
/** Share of the budget that only ordinary clients may use. */
const ordinaryShare = 1 / 8;
/** Time without progress after which a client may lose its memory, milliseconds. Round trips take less than 10. */
const stalledAfterMs = 500;
/** Time that a body is not read on for lack of memory before it is refused, milliseconds. */
const pauseLimitMs = 2_000;

/** Memory that a client needs before more of its body is read. */
export interface MemoryDemand {
  readonly heldBytes: number;
  readonly neededBytes: number;
  /** Time for which the body has not been read on for lack of memory, milliseconds. */
  readonly waitedMs: number;
}

/** Memory of the budget. */
export interface MemoryState {
  readonly totalBytes: number;
  readonly freeBytes: number;
  /** All holders but the one that demands memory. */
  readonly holders: Iterable<MemoryHolder>;
}

/** A holder that loses its memory. */
export interface MemoryRelease {
  readonly holder: MemoryHolder;
  readonly reason: ReleaseReason;
}

/** What happens with a demand for memory. */
export type MemoryDecision =
  | { readonly kind: 'grant'; readonly releases: readonly MemoryRelease[] }
  | { readonly kind: 'pause' }
  | { readonly kind: 'refuse' };

/**
 * Decides on a demand for memory. The load addressed are many clients that together hold more than the daemon has: the ones
 * that hold most for longest without progress lose their memory first, ordinary clients last.
 */
export function decideMemory(demand: MemoryDemand, state: MemoryState, nowMs: number): MemoryDecision {
  const { neededBytes } = demand;
  const isOrdinary = demand.heldBytes + neededBytes <= ordinaryBytes;
  const missingBytes = neededBytes - state.freeBytes + (isOrdinary ? 0 : state.totalBytes * ordinaryShare);
  if (missingBytes <= 0) {
    return { kind: 'grant', releases: [] };
  }
  const releases = chooseReleases(missingBytes, state.holders, nowMs, isOrdinary);
  if (releases !== undefined) {
    return { kind: 'grant', releases };
  }
  return { kind: demand.waitedMs >= pauseLimitMs ? 'refuse' : 'pause' };
}

/**
 * Chooses the holders that lose their memory, so that `missingBytes` become free; undefined if these are not enough. For an
 * ordinary client they include those that make progress but hold more than an ordinary one.
 */
export function chooseReleases(
  missingBytes: number,
  holders: Iterable<MemoryHolder>,
  nowMs: number,
  includesProgressing: boolean,
): readonly MemoryRelease[] | undefined {
  const releasable = [...holders].filter((holder) => holder.isReleasable && holder.heldBytes > 0);
  const stalled = releasable.filter((holder) => holder.stalledMs(nowMs) >= stalledAfterMs);
  const weight = (holder: MemoryHolder): number => holder.heldBytes * holder.stalledMs(nowMs);
  const ordered = stalled
    .sort((a, b) => weight(b) - weight(a))
    .map((holder): MemoryRelease => ({ holder, reason: 'stalled' }));
  if (includesProgressing) {
    const others = releasable.filter((holder) => holder.heldBytes > ordinaryBytes && !stalled.includes(holder));
    ordered.push(
      ...others.sort((a, b) => b.heldBytes - a.heldBytes).map((holder) => ({ holder, reason: 'tooLarge' as const })),
    );
  }
  return takeUntilEnough(ordered, missingBytes);
}

function takeUntilEnough(ordered: readonly MemoryRelease[], missingBytes: number): MemoryRelease[] | undefined {
  const taken: MemoryRelease[] = [];
  let leftBytes = missingBytes;
  for (const release of ordered) {
    taken.push(release);
    leftBytes -= release.holder.heldBytes;
    if (leftBytes <= 0) {
      return taken;
    }
  }
  return undefined;
}
