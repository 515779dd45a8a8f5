/** Replay of a claims topic, which determines the attempt that may send the call of an idempotency key. */
import { BucketMap } from '../collections/BucketMap.js';
import { rejection } from '../replay/verdicts.js';
import type * as types from '../Types.js';
import { parseClaimRecord } from './schemas.js';

/** Time for which a key is kept unless configured otherwise. */
export const defaultClaimWindowMs = 24 * 3600 * 1000;
/** Number of incarnations whose last sequence number is kept to detect duplicates. */
const maximumTrackedIncarnations = 4096;
/** Keys are dropped this long after the end of the window, because the clocks of the daemons differ. */
export const claimClockToleranceMs = 60_000;

/** State before the first record. */
export function emptyClaimsState(windowMs: number = defaultClaimWindowMs): types.ClaimsState {
  return { appliedOffset: -1, lastSequences: new Map(), claims: BucketMap.from<types.ClaimEntry>([]), windowMs };
}

/** Applies one record; the first claim of a key by offset wins. */
export function replayClaim(
  state: types.ClaimsState,
  record: types.LogRecord<types.ClaimRecordBody>,
): types.ClaimReplayResult {
  if (record.offset <= state.appliedOffset) {
    return { state, verdict: { kind: 'duplicate' } };
  }
  const advanced = { ...state, appliedOffset: record.offset };
  const { incarnation, sequence } = record.id;
  if (sequence <= (state.lastSequences.get(incarnation) ?? -1)) {
    return { state: advanced, verdict: { kind: 'duplicate' } };
  }
  const lastSequences = withLatestSequence(state.lastSequences, incarnation, sequence);
  return apply({ ...advanced, lastSequences }, record);
}

/** Parses and applies a value read from the topic. A value that this version cannot parse has no effect. */
export function replayClaimValue(
  state: types.ClaimsState,
  offset: types.Offset,
  value: unknown,
): types.ClaimReplayResult {
  const parsed = parseClaimRecord(value);
  if (parsed.ok) {
    return replayClaim(state, { ...parsed.value, offset });
  }
  if (offset <= state.appliedOffset) {
    return { state, verdict: { kind: 'duplicate' } };
  }
  const { rule, message } = parsed.failure;
  return { state: { ...state, appliedOffset: offset }, verdict: rejection(rule, message) };
}

/** Answer to an attempt that requests a key; undefined if the key is free. */
export function answerFor(
  state: types.ClaimsState,
  key: string,
  fingerprint: string,
  attempt: string,
): types.ClaimAnswer | undefined {
  const entry = state.claims.get(key);
  if (entry === undefined) {
    return undefined;
  }
  if (entry.fingerprint !== fingerprint) {
    return { kind: 'mismatch' };
  }
  switch (entry.state) {
    case 'running':
      return { kind: entry.attempt === attempt ? 'granted' : 'running' };
    case 'completed':
      return {
        kind: 'completed',
        status: entry.status ?? 200,
        ...(entry.answer === undefined ? {} : { answer: entry.answer }),
      };
    case 'abandoned':
      return { kind: 'unknown' };
  }
}

/**
 * Drops keys that replay no longer needs. Replay itself treats a key as free once the window has passed according to
 * the clock of the next claim, so the result does not depend on when a daemon calls this. A running claim is kept,
 * because its attempt may still send the call.
 */
export function dropExpiredClaims(state: types.ClaimsState, nowMs: number, windowMs: number): types.ClaimsState {
  const oldestMs = nowMs - windowMs - claimClockToleranceMs;
  const kept = [...state.claims].filter(([, entry]) => entry.state === 'running' || entry.claimedAtMs >= oldestMs);
  return kept.length === state.claims.size ? state : { ...state, claims: BucketMap.from(kept) };
}

function apply(state: types.ClaimsState, record: types.LogRecord<types.ClaimRecordBody>): types.ClaimReplayResult {
  const { body } = record;
  if (body.kind === 'claimed') {
    return applyClaimed(state, body, record.clock.wallMs);
  }
  const entry = state.claims.get(body.key);
  if (entry === undefined) {
    return { state, verdict: rejection('unknownReference', `key ${body.key} is not claimed`) };
  }
  if (entry.attempt !== body.attempt) {
    return { state, verdict: rejection('notAuthor', `key ${body.key} is claimed by another attempt`) };
  }
  switch (body.kind) {
    case 'completed':
      return applyCompleted(state, entry, body);
    case 'released':
      return entry.state === 'running'
        ? accepted(state, claimsOf(state).without(entry.key))
        : wrongState(state, entry, body.kind);
    case 'abandoned':
      return entry.state === 'running'
        ? accepted(state, claimsOf(state).with(entry.key, { ...entry, state: 'abandoned' }))
        : wrongState(state, entry, body.kind);
    default:
      return { state, verdict: rejection('unknownKind', 'record kind is not known') };
  }
}

function applyClaimed(
  state: types.ClaimsState,
  body: Extract<types.ClaimRecordBody, { kind: 'claimed' }>,
  wallMs: number,
): types.ClaimReplayResult {
  const { key, fingerprint, attempt, sender } = body;
  const existing = state.claims.get(key);
  if (existing !== undefined && !isExpired(state, existing, wallMs)) {
    const isRepeated = existing.attempt === attempt && existing.state === 'running';
    return isRepeated
      ? { state, verdict: { kind: 'duplicate' } }
      : { state, verdict: rejection('keyTaken', `key ${key} is claimed by attempt ${existing.attempt}`) };
  }
  const entry: types.ClaimEntry = { key, fingerprint, attempt, sender, state: 'running', claimedAtMs: wallMs };
  return accepted(state, claimsOf(state).with(key, entry));
}

function applyCompleted(
  state: types.ClaimsState,
  entry: types.ClaimEntry,
  body: Extract<types.ClaimRecordBody, { kind: 'completed' }>,
): types.ClaimReplayResult {
  // An attempt that was abandoned because its author appeared to be gone may still report its actual result.
  if (entry.state === 'completed') {
    return wrongState(state, entry, body.kind);
  }
  const { status, answer } = body;
  const completed: types.ClaimEntry = {
    ...entry,
    state: 'completed',
    status,
    ...(answer === undefined ? {} : { answer }),
  };
  return accepted(state, claimsOf(state).with(entry.key, completed));
}

function claimsOf(state: types.ClaimsState): BucketMap<types.ClaimEntry> {
  return state.claims instanceof BucketMap
    ? (state.claims as BucketMap<types.ClaimEntry>)
    : BucketMap.from(state.claims);
}

function isExpired(state: types.ClaimsState, entry: types.ClaimEntry, wallMs: number): boolean {
  return entry.state !== 'running' && wallMs - entry.claimedAtMs > (state.windowMs ?? defaultClaimWindowMs);
}

function accepted(state: types.ClaimsState, claims: types.ClaimsState['claims']): types.ClaimReplayResult {
  return { state: { ...state, claims }, verdict: { kind: 'accepted' } };
}

function wrongState(state: types.ClaimsState, entry: types.ClaimEntry, event: string): types.ClaimReplayResult {
  return { state, verdict: rejection('wrongState', `${event} does not apply to a ${entry.state} claim`) };
}

/** Keeps the most recently updated sequence numbers at the end, so that the oldest are dropped first. */
function withLatestSequence(
  sequences: types.ClaimsState['lastSequences'],
  incarnation: string,
  sequence: number,
): types.ClaimsState['lastSequences'] {
  const copy = new Map(sequences);
  copy.delete(incarnation);
  copy.set(incarnation, sequence);
  if (copy.size > maximumTrackedIncarnations) {
    for (const oldest of copy.keys()) {
      copy.delete(oldest);
      break;
    }
  }
  return copy;
}
