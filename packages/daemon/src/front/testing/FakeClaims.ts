import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type * as types from '../../Types.js';

/** In-memory claims. */
export class FakeClaims implements types.ClaimsClient {
  /** While true, every acquisition fails. */
  public unavailable = false;
  /** Operations in call order. */
  public readonly history: string[] = [];
  private readonly _claims = new Map<string, { readonly fingerprint: string; answer: decisions.ClaimAnswer }>();

  public acquire(request: types.ClaimRequest): Promise<common.Outcome<decisions.ClaimAnswer, types.ClaimFailure>> {
    this.history.push('acquire');
    if (this.unavailable) {
      return Promise.resolve(common.fail({ message: 'the log is down', retryAfterMs: 1_500 }));
    }
    const known = this._claims.get(request.key);
    if (!known) {
      this._claims.set(request.key, { fingerprint: request.fingerprint, answer: { kind: 'running' } });
      return Promise.resolve(common.succeed({ kind: 'granted' }));
    }
    const matches = known.fingerprint === request.fingerprint;
    return Promise.resolve(common.succeed(matches ? known.answer : { kind: 'mismatch' }));
  }

  public complete(
    key: string,
    _attempt: string,
    status: number,
    answer: decisions.StoredAnswer | undefined,
  ): Promise<boolean> {
    return this._settle('complete', key, { kind: 'completed', status, ...(answer ? { answer } : {}) });
  }

  public release(key: string): Promise<boolean> {
    this.history.push('release');
    this._claims.delete(key);
    return Promise.resolve(true);
  }

  public abandon(key: string): Promise<boolean> {
    return this._settle('abandon', key, { kind: 'unknown' });
  }

  private _settle(action: string, key: string, answer: decisions.ClaimAnswer): Promise<boolean> {
    this.history.push(action);
    const known = this._claims.get(key);
    if (known) {
      known.answer = answer;
    }
    return Promise.resolve(true);
  }
}
