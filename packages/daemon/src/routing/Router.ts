import * as decisions from '@jayhaven/decisions';
import type * as common from '@jayhaven/common';
import type { LoadView } from '../Types.js';
import { BoundedMap } from './BoundedMap.js';
import type { ModelCatalog } from './ModelCatalog.js';
import { TargetBreakers } from './TargetBreakers.js';
import type { ResolvedModel, TargetLease } from './Types.js';

/** Limit of prompts whose last target is stored. */
const maximumAffinities = 8_192;
/** Limit of stored pauses of a model at a target. */
const maximumPauses = 8_192;
/** Renewal interval of a subscription, milliseconds. A subscription lasts 10 s. */
const subscriptionRenewalMs = 3_000;

interface ReceivedDigest {
  readonly sequence: number;
  readonly receivedMs: number;
  /** This daemon's requests in flight at that time; the digest includes them. */
  readonly ownInFlight: number;
}

/** Chooses targets for model requests by the replayed state, load digests and this daemon's requests in flight. */
export class Router {
  private readonly _inFlight = new Map<common.TargetAddress, number>();
  private readonly _digests = new BoundedMap<common.TargetAddress, ReceivedDigest>(4_096);
  private readonly _subscribed = new BoundedMap<common.TargetAddress, number>(4_096);
  private readonly _affinities = new BoundedMap<string, common.TargetAddress>(maximumAffinities);
  private readonly _pauses = new BoundedMap<string, number>(maximumPauses);
  private readonly _breakers = new TargetBreakers();

  public constructor(
    private readonly _catalog: ModelCatalog,
    private readonly _loads: LoadView,
    private readonly _random: () => number = Math.random,
  ) {}

  /** Whether a request for the model can be sent to any target now. */
  public isRoutable(model: ResolvedModel, nowMs: number): boolean {
    return this._catalog.readyReplicas(model).some((replica) => this._isUsable(replica, model, nowMs));
  }

  /** Time of the next probe if every target of the model has failed its last probe. */
  public failingUntilMs(model: ResolvedModel, nowMs: number): number | undefined {
    let earliestMs: number | undefined;
    for (const replica of this._catalog.readyReplicas(model)) {
      if (this._loads.isLeaving(replica.vm)) {
        continue;
      }
      const untilMs = this._breakers.failingUntilMs(replica.target, nowMs);
      if (untilMs === undefined) {
        return undefined;
      }
      earliestMs = Math.min(earliestMs ?? untilMs, untilMs);
    }
    return earliestMs;
  }

  /** Chooses a target that is not excluded; undefined if there is none. */
  public choose(
    model: ResolvedModel,
    promptPrefix: string,
    excluded: ReadonlySet<common.TargetAddress>,
    nowMs: number,
  ): TargetLease | undefined {
    const replicas = new Map<common.TargetAddress, decisions.ReplicaEntry>();
    const candidates: decisions.RouteCandidate[] = [];
    for (const replica of this._catalog.readyReplicas(model)) {
      if (!excluded.has(replica.target) && this._isUsable(replica, model, nowMs)) {
        replicas.set(replica.target, replica);
        candidates.push(this._candidate(replica.target, nowMs));
      }
    }
    const affinity = `${model.engineName} ${decisions.promptHash(promptPrefix)}`;
    const preferred = candidates.length > 1 ? this._affinities.get(affinity) : undefined;
    const chosen = decisions.chooseTarget(candidates, preferred, [this._random(), this._random()]);
    const replica = chosen && replicas.get(chosen.target);
    if (!replica) {
      return undefined;
    }
    if (candidates.length > 1) {
      this._affinities.set(affinity, replica.target);
    }
    return this._lease(replica, nowMs);
  }

  /** Sends no requests for the model to the target until the given time. */
  public pause(model: ResolvedModel, target: common.TargetAddress, untilMs: number): void {
    this._pauses.set(`${target} ${model.queue}`, untilMs);
  }

  private _lease(replica: decisions.ReplicaEntry, nowMs: number): TargetLease {
    const target = replica.target;
    this._inFlight.set(target, (this._inFlight.get(target) ?? 0) + 1);
    this._breakers.recordPick(target, nowMs);
    let isActive = true;
    return {
      target,
      replica: replica.replica,
      vm: replica.vm,
      finish: (result, endedMs) => {
        if (!isActive) {
          return;
        }
        isActive = false;
        this._decrementInFlight(target);
        if (result === 'answered') {
          this._breakers.recordSuccess(target);
        } else if (result === 'failed') {
          this._breakers.recordFailure(target, endedMs);
        }
      },
    };
  }

  private _decrementInFlight(target: common.TargetAddress): void {
    const remaining = (this._inFlight.get(target) ?? 1) - 1;
    if (remaining > 0) {
      this._inFlight.set(target, remaining);
    } else {
      this._inFlight.delete(target);
    }
  }

  private _isUsable(replica: decisions.ReplicaEntry, model: ResolvedModel, nowMs: number): boolean {
    this._subscribe(replica.target, nowMs);
    return (
      !this._loads.isLeaving(replica.vm) &&
      this._breakers.allows(replica.target, nowMs) &&
      !this._isPaused(`${replica.target} ${model.queue}`, nowMs)
    );
  }

  private _isPaused(key: string, nowMs: number): boolean {
    const untilMs = this._pauses.get(key);
    return untilMs !== undefined && nowMs < untilMs;
  }

  private _subscribe(target: common.TargetAddress, nowMs: number): void {
    const renewedMs = this._subscribed.get(target);
    if (renewedMs === undefined || nowMs - renewedMs >= subscriptionRenewalMs) {
      this._subscribed.set(target, nowMs);
      this._loads.subscribe(target);
    }
  }

  private _candidate(target: common.TargetAddress, nowMs: number): decisions.RouteCandidate {
    const inFlight = this._inFlight.get(target) ?? 0;
    const digest = this._loads.digest(target);
    if (!digest) {
      return { target, inFlight, othersInFlight: 0, digestAgeMs: 0, slots: 0, reachable: true };
    }
    let received = this._digests.get(target);
    // A restarted engine restarts its sequence, so any different sequence number means a new digest.
    if (received?.sequence !== digest.sequence) {
      received = { sequence: digest.sequence, receivedMs: nowMs, ownInFlight: inFlight };
      this._digests.set(target, received);
    }
    const othersInFlight = Math.max(0, digest.running + digest.waiting - received.ownInFlight);
    return {
      target,
      inFlight,
      othersInFlight: othersInFlight,
      digestAgeMs: nowMs - received.receivedMs,
      slots: digest.slots,
      reachable: digest.reachable,
    };
  }
}
