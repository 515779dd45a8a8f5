/** A part that was answered within this time is not suspected, milliseconds: replicas begin to answer it and go on. */
const freshMs = 5_000;
/** A part that was answered within this time needs more rounds of crashes than an unknown one, milliseconds. */
const knownGoodMs = 60_000;
/** Rounds after which a part is suspected, and after which it is blocked. */
const rounds = {
  unknown: { suspected: 1, blocked: 2 },
  knownGood: { suspected: 2, blocked: 4 },
} as const;

/**
 * True if requests with a part are sent only as trials. A single crash is no reason to hold back a part that has been
 * answered of late: the replica had many requests in progress, and it may have ended for reasons of its own.
 */
export function isSuspected(crashRounds: number, answeredAgeMs: number | undefined): boolean {
  return crashRounds >= roundsFor(answeredAgeMs).suspected && !isFresh(answeredAgeMs);
}

/** True if requests with a part are refused after this number of rounds. */
export function isCertain(crashRounds: number, answeredAgeMs: number | undefined): boolean {
  return crashRounds >= roundsFor(answeredAgeMs).blocked && !isFresh(answeredAgeMs);
}

function roundsFor(answeredAgeMs: number | undefined): (typeof rounds)[keyof typeof rounds] {
  return answeredAgeMs !== undefined && answeredAgeMs < knownGoodMs ? rounds.knownGood : rounds.unknown;
}

function isFresh(answeredAgeMs: number | undefined): boolean {
  return answeredAgeMs !== undefined && answeredAgeMs < freshMs;
}
