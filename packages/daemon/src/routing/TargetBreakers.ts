import * as cockatiel from 'cockatiel';
import type * as common from '@jayhaven/common';

/** Failures in a row after which a target gets no requests for a while. */
const failuresToOpen = 3;
/** Time without requests to an open target, milliseconds; then one probe per period. */
const openMs = 2_000;
/** Targets remembered. A target without failures needs no entry. */
const maximumTargets = 4_096;

interface TargetBreaker {
  readonly policy: cockatiel.CircuitBreakerPolicy;
  nextProbeMs: number;
  probing: boolean;
  /** Probes that failed since the breaker opened. */
  failedProbes: number;
}

/** One circuit breaker per target that has failed lately. */
export class TargetBreakers {
  private readonly _breakers = new Map<common.TargetAddress, TargetBreaker>();

  /** Whether the target may be picked. */
  public allows(target: common.TargetAddress, nowMs: number): boolean {
    const breaker = this._breakers.get(target);
    return !breaker || breaker.policy.state === cockatiel.CircuitState.Closed || nowMs >= breaker.nextProbeMs;
  }

  /**
   * When the next probe of a target is due whose last probe failed too; undefined if it may be picked, if a probe is
   * under way, or if it opened only now and a short fault may be over by the first probe.
   */
  public failingUntilMs(target: common.TargetAddress, nowMs: number): number | undefined {
    const breaker = this._breakers.get(target);
    const isFailing = breaker && breaker.failedProbes > 0 && !breaker.probing && !this.allows(target, nowMs);
    return isFailing ? breaker.nextProbeMs : undefined;
  }

  /** Tells that the target was picked, so that an open one gets a single probe. */
  public recordPick(target: common.TargetAddress, nowMs: number): void {
    const breaker = this._breakers.get(target);
    if (breaker && breaker.policy.state !== cockatiel.CircuitState.Closed) {
      breaker.nextProbeMs = nowMs + openMs;
      breaker.probing = true;
    }
  }

  /** Counts an answer; forgets earlier failures. */
  public recordSuccess(target: common.TargetAddress): void {
    this._breakers.delete(target);
  }

  /** Counts a failure. */
  public recordFailure(target: common.TargetAddress, nowMs: number): void {
    const breaker = this._breakers.get(target) ?? this._create(target);
    if (breaker.probing) {
      breaker.failedProbes += 1;
      breaker.probing = false;
    }
    // The policy wraps nothing here: an attempt is reported after it ended, because a stream outlives its start.
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
