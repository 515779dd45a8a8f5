/** Records and state of the topics `claims-<n>`. */
import type * as common from '@jayhaven/common';
import type { Offset, Verdict } from '../state/Types.js';

/** Body of a record of a topic `claims-<n>`. */
export type ClaimRecordBody =
  | {
      readonly kind: 'claimed';
      readonly key: string;
      readonly fingerprint: string;
      /** Names the one attempt of one entry daemon that may send. */
      readonly attempt: string;
      readonly sender: common.Incarnation;
    }
  | {
      readonly kind: 'completed';
      readonly key: string;
      readonly attempt: string;
      readonly status: number;
      /** Stored answer, base64; absent if larger than `maximumStoredAnswerBytes`. */
      readonly answer?: StoredAnswer;
    }
  | { readonly kind: 'released'; readonly key: string; readonly attempt: string }
  /** The attempt may have run; its outcome will never be known. */
  | { readonly kind: 'abandoned'; readonly key: string; readonly attempt: string };

export interface StoredAnswer {
  readonly contentType: string;
  readonly base64: string;
}

export interface ClaimEntry {
  readonly key: string;
  readonly fingerprint: string;
  readonly attempt: string;
  readonly sender: common.Incarnation;
  readonly state: 'running' | 'completed' | 'abandoned';
  readonly status?: number;
  readonly answer?: StoredAnswer;
  /** Wall clock of the claim, milliseconds; keys are forgotten after the window. */
  readonly claimedAtMs: number;
}

export interface ClaimsState {
  readonly appliedOffset: Offset;
  readonly lastSequences: ReadonlyMap<common.Incarnation, number>;
  readonly claims: ReadonlyMap<string, ClaimEntry>;
  /** How long a key is remembered, milliseconds; the same in every daemon. */
  readonly windowMs?: number;
}

/** Answer to an entry daemon that asks for a claim. */
export type ClaimAnswer =
  | { readonly kind: 'granted' }
  | { readonly kind: 'running' }
  | { readonly kind: 'completed'; readonly status: number; readonly answer?: StoredAnswer }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'mismatch' };

export interface ClaimReplayResult {
  readonly state: ClaimsState;
  readonly verdict: Verdict;
}
