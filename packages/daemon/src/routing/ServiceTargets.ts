import type * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { ControlLog, LoadView } from '../Types.js';
import type { ServiceAttemptEnd } from './ServiceAttempt.js';
import { TargetBreakers } from './TargetBreakers.js';

/** Chooses targets of plain services. */
export class ServiceTargets {
  private readonly _inFlight = new Map<common.TargetAddress, number>();
  private readonly _breakers = new TargetBreakers();

  public constructor(
    private readonly _log: ControlLog,
    private readonly _loads: LoadView,
    private readonly _now: () => number,
    private readonly _random: () => number = Math.random,
  ) {}

  /** Chooses a live target that was not tried yet. A target with an open breaker is used only if there is no other. */
  public choose(
    service: string,
    triedTargets: ReadonlySet<common.TargetAddress>,
    nowMs: number,
  ): common.TargetAddress | undefined {
    const live = decisions
      .serviceTargets(this._log.state, service, (vm) => this._loads.isLeaving(vm))
      .filter((target) => !triedTargets.has(target));
    const healthy = live.filter((target) => this._breakers.allows(target, nowMs));
    const candidates = (healthy.length > 0 ? healthy : live).map((target) => ({
      target,
      inFlight: this._inFlight.get(target) ?? 0,
      othersInFlight: 0,
      digestAgeMs: 0,
      slots: 0,
      reachable: true,
    }));
    const chosen = decisions.chooseTarget(candidates, undefined, [this._random(), this._random()]);
    if (chosen) {
      this._breakers.recordPick(chosen.target, nowMs);
    }
    return chosen?.target;
  }

  /** Counts an attempt as in flight until it ends, and records its result in the target's circuit breaker. */
  public async track(target: common.TargetAddress, run: () => Promise<ServiceAttemptEnd>): Promise<ServiceAttemptEnd> {
    this._inFlight.set(target, (this._inFlight.get(target) ?? 0) + 1);
    const end = await run();
    const remaining = (this._inFlight.get(target) ?? 1) - 1;
    if (remaining > 0) {
      this._inFlight.set(target, remaining);
    } else {
      this._inFlight.delete(target);
    }
    if (end.kind === 'answered') {
      this._breakers.recordSuccess(target);
    } else {
      this._breakers.recordFailure(target, this._now());
    }
    return end;
  }
}
