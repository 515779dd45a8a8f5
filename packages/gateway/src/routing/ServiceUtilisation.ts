import type { Replica } from '../Types.js';

/** Time for which a mean is used, milliseconds, so that a choice does not go over all replicas of a large service. */
const lifetimeMs = 100;
/**
 * Time constant with which the weight of a report in the mean decreases, milliseconds. The mean of many replicas changes
 * less than the load of one, so that older reports are useful for it, for instance while there is no leader.
 */
const decayMs = 3_000;
/**
 * Weight of an idle replica that is assumed for each replica. After some 15 s without any report the mean falls to
 * zero, so that an overload that has ended does not keep requests away.
 */
const idleWeight = 0.01;

interface Mean {
  updatedMs: number;
  /** Requests of other daemons per slot. */
  value: number;
}

/** Mean utilisation of the replicas of each service by the requests of other daemons. */
export class ServiceUtilisation {
  private readonly _means = new Map<string, Mean>();

  /** Requests of other daemons per slot; 0 if there are no reports. */
  public mean(service: string): number {
    return this._means.get(service)?.value ?? 0;
  }

  /** Updates the mean of a service if it is outdated. `known` returns the last reported load of a replica. */
  public update(
    service: string,
    replicas: readonly Replica[],
    nowMs: number,
    known: (replicaId: string) => { readonly others: number; readonly ageMs: number },
  ): void {
    const mean = this._means.get(service);
    if (mean !== undefined && nowMs - mean.updatedMs < lifetimeMs) {
      return;
    }
    let others = 0;
    let slots = 0;
    for (const replica of replicas) {
      const { others: reported, ageMs } = known(replica.id);
      const weight = Math.exp(-ageMs / decayMs);
      others += reported * weight;
      slots += replica.slots * (weight + idleWeight);
    }
    this._means.set(service, { updatedMs: nowMs, value: slots > 0 ? others / slots : 0 });
  }
}
