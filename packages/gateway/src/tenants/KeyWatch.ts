import type { Unsubscribe } from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { LocalResponse } from '../forwarding/admitRequest.js';
import type { Tenant } from '../Types.js';
import { decideRevocation, type RevokedRequest } from './decideRevocation.js';
import { keyDigest } from './keyDigest.js';
import type { TenantKeys } from './TenantKeys.js';

const removedKeyReason = 'the key was removed';

/** The request whose key is watched. */
export interface WatchedRequest {
  /** State of the request now. */
  state(): RevokedRequest;
  /** The key is valid in a new configuration. */
  onTenant(tenant: Tenant): void;
  onRejected(response: LocalResponse): void;
  /** The running stream has to end. */
  onEnded(reason: string): void;
}

/** Checks the key of one request against each new configuration until the request ends. */
export class KeyWatch {
  private _unsubscribe: Unsubscribe = () => undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _isRevoked = false;
  private _isStopped = false;

  public constructor(
    private readonly _keys: TenantKeys | undefined,
    private readonly _request: WatchedRequest,
    private readonly _clock: Clock,
  ) {}

  /** Starts watching; only requests that a tenant was found for are watched. */
  public start(credential: string): void {
    const keys = this._keys;
    if (keys !== undefined) {
      const digest = keyDigest(credential);
      this._unsubscribe = keys.onChanged(() => {
        this._check(keys, digest);
      });
    }
  }

  /** Rejects the request if its key was removed while it ran and it waits again; returns true if it was rejected. */
  public rejectIfRevoked(): boolean {
    if (!this._isRevoked || this._request.state().hasBegun) {
      return false;
    }
    this._reject();
    return true;
  }

  public stop(): void {
    this._isStopped = true;
    this._unsubscribe();
    clearTimeout(this._timer);
  }

  private _check(keys: TenantKeys, digest: string): void {
    if (this._isStopped) {
      // The end of one request may end others while an event is being fired.
      return;
    }
    const tenant = keys.table.find(digest);
    if (tenant !== undefined || !keys.table.requiresKeys) {
      this._isRevoked = false;
      clearTimeout(this._timer);
      this._timer = undefined;
      if (tenant !== undefined) {
        this._request.onTenant(tenant);
      }
      return;
    }
    this._isRevoked = true;
    const nowMs = this._clock.now().steadyMs;
    const decision = decideRevocation(this._request.state(), keys.revocation, nowMs);
    if (decision.kind === 'reject') {
      this._reject();
    } else if (decision.kind === 'end') {
      // A further configuration without the key does not extend the time.
      this._timer ??= setTimeout(() => {
        keys.metrics.count('streamEnded');
        this._request.onEnded(removedKeyReason);
      }, decision.atMs - nowMs);
    }
  }

  private _reject(): void {
    this._keys?.metrics.count('removed');
    this._request.onRejected({ status: 401, outcome: 'unauthorized', reason: removedKeyReason });
  }
}
