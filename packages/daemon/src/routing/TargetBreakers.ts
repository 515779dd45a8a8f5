import * as cockatiel from 'cockatiel';
import type * as common from '@jayhaven/common';

/** Consecutive failures that open the breaker of a target. */
const failuresToOpen = 3;
/** Time without requests to a target with an open breaker, milliseconds; afterwards one probe per period. */
const openMs = 2_000;
/** Limit of stored targets. A target without failures has no entry. */
const maximumTargets = 4_096;

interface TargetBreaker {
  readonly policy: cockatiel.CircuitBreakerPolicy;
  nextProbeMs: number;
  probing: boolean;
  /** Probes that failed since the breaker opened. */
  failedProbes: number;
}

/** Circuit breakers of targets that have failed recently. */
export class TargetBreakers {
  private readonly _breakers = new Map<common.TargetAddress, TargetBreaker>();

  /** Whether the target may be chosen. */
  public allows(target: common.TargetAddress, nowMs: number): boolean {
    const breaker = this._breakers.get(target);
    return !breaker || breaker.policy.state === cockatiel.CircuitState.Closed || nowMs >= breaker.nextProbeMs;
  }

  /**
   * Time of the next probe of a target whose last probe failed; undefined if the target may be chosen, if a probe is in
   * progress, or if there was no probe yet, because a short fault may be over by the first one.
   */
  public failingUntilMs(target: common.TargetAddress, nowMs: number): number | undefined {
    const breaker = this._breakers.get(target);
    const isFailing = breaker && breaker.failedProbes > 0 && !breaker.probing && !this.allows(target, nowMs);
    return isFailing ? breaker.nextProbeMs : undefined;
  }

  /** Records that the target was chosen, so that an open breaker allows only one probe. */
  public recordPick(target: common.TargetAddress, nowMs: number): void {
    const breaker = this._breakers.get(target);
    if (breaker && breaker.policy.state !== cockatiel.CircuitState.Closed) {
      breaker.nextProbeMs = nowMs + openMs;
      breaker.probing = true;
    }
  }

  /** Records a success, which clears earlier failures. */
  public recordSuccess(target: common.TargetAddress): void {
    this._breakers.delete(target);
  }

  /** Records a failure. */
  public recordFailure(target: common.TargetAddress, nowMs: number): void {
    const breaker = this._breakers.get(target) ?? this._create(target);
    if (breaker.probing) {
      breaker.failedProbes += 1;
      breaker.probing = false;
    }
    // The policy does not wrap the attempt: the result is recorded after the end, because a stream outlasts its start.
    breaker.policy.execute(throwFailure).catch(() => undefined);
    breaker.nextProbeMs = nowMs + openMs;
  }

  private _create(target: common.TargetAddress): TargetBreaker {
    if (this._breakers.size >= maximumTargets) {
      this._breakers.clear();
    }
    const policy = cockatiel.circuitBreaker(cockatiel.handleAll, {
      halfOpenAfter: openMs,
      breaker: new cockatiel.ConsecutiveBreaker(failuresToOpen),
    });
    const breaker = { policy, nextProbeMs: 0, probing: false, failedProbes: 0 };
    this._breakers.set(target, breaker);
    return breaker;
  }
}

function throwFailure(): never {
  throw new Error('attempt failed');
}
