import { gainOf, type ModelDemand } from './weights.js';

/**
 * Weight of requests beyond the capacity of a model's copies: they may be served late, while requests for a model
 * without a copy are never served.
 */
const furtherCopyWeight = 0.1;

/** A model in high demand, with the running requests and slots of the replicas assigned to it. */
export interface HotModel {
  readonly model: string;
  readonly demand: ModelDemand;
  readonly running: number;
  readonly slots: number;
}

/** A model that may be loaded from the weight store. */
export interface StoreCandidate {
  readonly model: string;
  /** Gain of a load, in weighted requests per second. */
  readonly gain: number;
  readonly reason: 'waiting' | 'secondCopy';
}

/** Models whose copies have more running requests than slots. */
export function overloaded(hot: readonly HotModel[]): readonly StoreCandidate[] {
  const overloadedModels = hot.filter(({ running, slots }) => running > slots);
  return overloadedModels.map(({ model, demand, running, slots }) => {
    const gain = gainOf(demand) * (1 - slots / running) * furtherCopyWeight;
    return { model, gain, reason: 'secondCopy' as const };
  });
}
