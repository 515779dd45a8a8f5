/** Records and state of the topics `claims-<n>`. */
import type * as common from '@jayhaven/common';
import type { Offset, Verdict } from '../state/Types.js';

/** Body of a record of a topic `claims-<n>`. */
export type ClaimRecordBody =
  | {
      readonly kind: 'claimed';
      readonly key: string;
      readonly fingerprint: string;
      /** Identifies the only attempt that may send the call; it belongs to one entry daemon. */
      readonly attempt: string;
      readonly sender: common.Incarnation;
    }
  | {
      readonly kind: 'completed';
      readonly key: string;
      readonly attempt: string;
      readonly status: number;
      /** Answer to be stored; absent if larger than `maximumStoredAnswerBytes`. */
      readonly answer?: StoredAnswer;
    }
  | { readonly kind: 'released'; readonly key: string; readonly attempt: string }
  /** The attempt may have run, but its outcome is unknown. */
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
  /** Wall-clock time of the claim, milliseconds; the key expires once the window has passed. */
  readonly claimedAtMs: number;
}

export interface ClaimsState {
  readonly appliedOffset: Offset;
  readonly lastSequences: ReadonlyMap<common.Incarnation, number>;
  readonly claims: ReadonlyMap<string, ClaimEntry>;
  /** Time for which a key is kept, milliseconds; the same in every daemon. */
  readonly windowMs?: number;
}

/** Answer to an entry daemon that requests a claim. */
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
