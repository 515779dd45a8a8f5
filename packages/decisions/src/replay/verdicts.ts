/** Input and results of the replay functions. */
import type * as types from '../Types.js';

/** A record with a body of a given type, as the replay function of its kind receives it. */
export interface TypedRecord<Body extends types.ControlRecordBody> {
  readonly author: string;
  readonly offset: types.Offset;
  readonly clock: types.ControlRecord['clock'];
  readonly body: Body;
}

/** Verdict of a record that has no effect. */
export type RejectedVerdict = Extract<types.Verdict, { kind: 'rejected' }>;

/** Result for a record that takes effect. */
export function accept(state: types.ControlState, change: Partial<types.ControlState> = {}): types.ReplayResult {
  return { state: { ...state, ...change }, verdict: { kind: 'accepted' } };
}

/** Result for a record that has no effect. */
export function reject(
  state: types.ControlState,
  rule: types.RejectionRule,
  message: string,
  winner?: types.Offset,
): types.ReplayResult {
  return { state, verdict: rejection(rule, message, winner) };
}

/** Verdict of a rejected record. */
export function rejection(rule: types.RejectionRule, message: string, winner?: types.Offset): RejectedVerdict {
  return { kind: 'rejected', rule, message, ...(winner === undefined ? {} : { winner }) };
}
