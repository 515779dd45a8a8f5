import type * as decisions from '@jayhaven/decisions';

/** Call of `claims.acquire`. The caller's incarnation is the sender. */
export interface AcquireCall {
  readonly key: string;
  readonly fingerprint: string;
  readonly attempt: string;
  readonly timeoutMs: number;
}

/** Call of `claims.complete`, `claims.release` or `claims.abandon`. */
export interface ReportCall {
  readonly body: Exclude<decisions.ClaimRecordBody, { readonly kind: 'claimed' }>;
  readonly timeoutMs: number;
}

/** Answer of a holder to `claims.acquire`. */
export type AcquireAnswer = { readonly kind: 'answered'; readonly answer: decisions.ClaimAnswer } | AcquireFailure;

/** A claim that was not decided. */
export interface AcquireFailure {
  readonly kind: 'failed';
  readonly message: string;
  readonly retryAfterMs: number;
  /** Whether a claim record may still come into force. */
  readonly mayTakeEffect: boolean;
}

/** Answer of a holder to a report. `done` is false if the key is not in the reported state after replay. */
export type ReportAnswer =
  { readonly kind: 'replayed'; readonly done: boolean } | { readonly kind: 'failed'; readonly message: string };
