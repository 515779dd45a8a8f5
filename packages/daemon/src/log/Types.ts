import type * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';

/** A record as the log service returns it, before its value is validated. */
export interface RawRecord {
  readonly offset: number;
  readonly value: unknown;
}

/** Offsets of a topic: the first retained record and the next one to be written. */
export interface TopicOffsets {
  readonly beginningOffset: number;
  readonly endOffset: number;
}

/** Failure of a call to the log service. */
export type LogFailure =
  /** The offset is below the first retained record. */
  | { readonly kind: 'belowBeginning'; readonly message: string }
  /** The service did not respond, or responded with an error; an append may still take effect. */
  | { readonly kind: 'unavailable'; readonly message: string };

/** Result of replaying one record. */
export interface ReplayResult<State> {
  readonly state: State;
  readonly verdict: decisions.Verdict;
}

/** Replicated state machine of one kind of topic. All its functions are pure. */
export interface TopicStateMachine<Body, State> {
  readonly empty: State;
  parse(value: unknown): decisions.RecordEnvelope<Body> | undefined;
  replay(state: State, record: decisions.LogRecord<Body>): ReplayResult<State>;
  encode(state: State): unknown;
  decode(value: unknown): State | undefined;
}

/** A replayed record. */
export interface TopicChange<Body, State> {
  readonly record: decisions.LogRecord<Body>;
  readonly verdict: decisions.Verdict;
  readonly state: State;
}

/** A full state with the offset of the next record to apply. */
export interface StateImage {
  readonly nextOffset: number;
  readonly state: unknown;
  /** Wall-clock time at which it was encoded, milliseconds. */
  readonly takenAtMs: number;
}

/** Response of a peer to a request for records. */
export type PeerRecords =
  /** `nextOffset` is the next offset that the peer will apply. */
  | { readonly kind: 'records'; readonly records: readonly RawRecord[]; readonly nextOffset: number }
  /** The peer keeps no record that old; a full state is needed. */
  | { readonly kind: 'gap'; readonly nextOffset: number };

/** Source of records and full states for a replica that cannot read the log. */
export interface PeerSource {
  recordsAfter(topic: string, offset: number): Promise<PeerRecords | undefined>;
  state(topic: string, aboveOffset: number): Promise<StateImage | undefined>;
}

/** Identity, logger and clocks of a replica. */
export interface ReplicaContext {
  readonly incarnation: common.Incarnation;
  readonly logger: common.Logger;
  readonly clock: common.HybridClock;
  readonly now: () => number;
  readonly wallNow: () => number;
}
