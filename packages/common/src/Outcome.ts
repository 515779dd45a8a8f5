import type { Outcome } from './Types.js';

/** Wraps a value as a successful outcome. */
export function succeed<Value>(value: Value): { readonly ok: true; readonly value: Value } {
  return { ok: true, value };
}

/** Wraps a failure as an outcome. */
export function fail<Failure>(failure: Failure): { readonly ok: false; readonly failure: Failure } {
  return { ok: false, failure };
}

/** Returns the value. Throws on a failure, which the caller has already ruled out. */
export function expectValue<Value, Failure>(outcome: Outcome<Value, Failure>, invariant: string): Value {
  if (outcome.ok) {
    return outcome.value;
  }
  throw new Error(`invariant broken: ${invariant}: ${JSON.stringify(outcome.failure)}`);
}
