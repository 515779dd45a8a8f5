import type { Outcome } from './Types.js';

/** Wraps a value as a successful outcome. */
export function succeed<Value>(value: Value): { readonly ok: true; readonly value: Value } {
  return { ok: true, value };
}

/** Wraps a failure as an outcome. */
export function fail<Failure>(failure: Failure): { readonly ok: false; readonly failure: Failure } {
  return { ok: false, failure };
}

/** Returns the value, or throws because the caller has established that a failure is impossible. */
export function expectValue<Value, Failure>(outcome: Outcome<Value, Failure>, invariant: string): Value {
  if (outcome.ok) {
    return outcome.value;
  }
  throw new Error(`invariant broken: ${invariant}: ${JSON.stringify(outcome.failure)}`);
}
