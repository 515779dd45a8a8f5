/** A part that was answered within this time is not suspected, milliseconds: replicas begin to answer it and go on. */
const freshMs = 5_000;
/** A part that was answered within this time needs more rounds of crashes than an unknown one, milliseconds. */
const knownGoodMs = 60_000;
/**
 * Rounds after which a part is suspected, and after which it is blocked. The first part of a prompt begins most prompts of
 * a route, so it is treated like one that is known to be good.
 */
const rounds = {
  unknown: { suspected: 1, blocked: 2 },
  knownGood: { suspected: 2, blocked: 4 },
} as const;

/** A part of a prompt, and what is known of it. */
export interface PartEvidence {
  /** Crashes in a row, counted as in `CrashLedger`. */
  readonly rounds: number;
  /** Time since a request with the part was answered, milliseconds; undefined if none is remembered. */
  readonly answeredAgeMs: number | undefined;
  readonly isFirst: boolean;
}

/**
 * True if requests with a part are sent only as trials. A single crash is no reason to hold back a part that has been
 * answered of late: the replica had many requests in progress, and it may have ended for reasons of its own.
 */
export function isSuspected(evidence: PartEvidence): boolean {
  return evidence.rounds >= roundsFor(evidence).suspected && !isFresh(evidence);
}

/** True if the crashes suffice to refuse requests with a part. */
export function isCertain(evidence: PartEvidence): boolean {
  return evidence.rounds >= roundsFor(evidence).blocked && !isFresh(evidence);
}

function roundsFor({ answeredAgeMs, isFirst }: PartEvidence): (typeof rounds)[keyof typeof rounds] {
  const isKnownGood = answeredAgeMs !== undefined && answeredAgeMs < knownGoodMs;
  return isKnownGood || isFirst ? rounds.knownGood : rounds.unknown;
}

function isFresh({ answeredAgeMs }: PartEvidence): boolean {
  return answeredAgeMs !== undefined && answeredAgeMs < freshMs;
}
