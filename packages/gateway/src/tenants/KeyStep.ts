import { AdmissionStep } from '../forwarding/admission/AdmissionStep.js';
import type { StepDecision, StepRequest } from '../forwarding/admission/Types.js';
import { keyDigest } from './keyDigest.js';
import type { KeyRejection } from './KeyMetrics.js';
import type { TenantKeys } from './TenantKeys.js';

/** Rejects requests whose key belongs to no tenant. Load: callers without a valid key, which must cost no memory or demand. */
export class KeyStep extends AdmissionStep {
  public override readonly stage = 'key';

  public constructor(private readonly _keys: TenantKeys) {
    super();
  }

  public override decide({ callerRequest, route }: StepRequest): StepDecision {
    const { table } = this._keys;
    if (!table.requiresKeys || route.isKeyless) {
      return { kind: 'pass' };
    }
    if (callerRequest.hasSeveralCredentials === true) {
      return this._reject(400, 'repeated', 'the request has several keys');
    }
    if (callerRequest.credential === undefined) {
      return this._reject(401, 'missing', 'the request has no key');
    }
    const tenant = table.find(keyDigest(callerRequest.credential));
    if (tenant === undefined) {
      return this._reject(401, 'unknown', 'the key is unknown');
    }
    if (tenant.quota?.unit === 'tokens' && callerRequest.hasMalformedTokens === true) {
      const reason = 'the token counts are malformed';
      return { kind: 'reject', response: { status: 400, outcome: 'invalidRequest', reason } };
    }
    return { kind: 'pass', tenant };
  }

  public override withdraw(): void {
    // No request waits for this step.
  }

  private _reject(status: 400 | 401, rejection: KeyRejection, reason: string): StepDecision {
    this._keys.metrics.count(rejection);
    const outcome = status === 400 ? 'invalidRequest' : 'unauthorized';
    return { kind: 'reject', response: { status, outcome, reason } };
  }
}
