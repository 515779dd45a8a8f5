import * as vitest from 'vitest';
import type { DaemonReport } from '../peers/Types.js';
import { placedReplica } from '../testing/placedReplica.js';
import type { ModelSpecification } from '../Types.js';
import { DemandAggregator } from './DemandAggregator.js';
import { planModels } from './planModels.js';
import { StoreLoadLimiter } from './StoreLoadLimiter.js';
import type { PlacedReplica, PlacementInput, PlannedOrder } from './Types.js';

const stepMs = 100;
const loadMs = 13_200;
const hotFromMs = 18_000;
const hotRate = 5;
const rareEveryMs = 4_000;
const rareModels = Array.from({ length: 30 }, (_none, index) => `rare${index}`);

interface Load {
  readonly model: string;
  readonly startedMs: number;
  readonly endMs: number;
  readonly concurrentLoads: number;
}

function specification(name: string): [string, ModelSpecification] {
  const times = { memory: 300, disk: 600, store: loadMs };
  return [name, { name, weightMegabytes: 60_000, adapterMegabytes: 40, loadMs: times }];
}

/**
 * Simulates a store that runs one load at full speed, so that the k-th concurrent load takes k times as long. At first
 * no replica has a copy of any model. Thirty models are requested rarely, and one is in high demand from `hotFromMs`
 * on. Requests are refused at once, so none waits.
 */
class StoreLoadSimulation {
  public hotServed = 0;
  public hotRequests = 0;
  private readonly _demand = new DemandAggregator();
  private readonly _limiter = new StoreLoadLimiter();
  private readonly _models = new Map([...rareModels, 'hot'].map(specification));
  private readonly _loads = new Map<string, Load>();
  private readonly _held = new Map<string, string[]>();
  private readonly _replicaIds = Array.from({ length: 20 }, (_none, index) => `r${index}`);

  public run(untilMs: number): void {
    for (let nowMs = 0; nowMs < untilMs; nowMs += stepMs) {
      this._demand.apply(this._arrivals(nowMs), nowMs);
      this._endLoads(nowMs);
      for (const order of planModels(this._input(nowMs), nowMs).orders) {
        this._start(order, nowMs);
      }
    }
  }

  private _arrivals(nowMs: number): DaemonReport {
    const rare = rareModels.filter((_model, index) => (nowMs + index * stepMs) % rareEveryMs === 0);
    const isHotRequested = nowMs >= hotFromMs && nowMs % (1_000 / hotRate) === 0;
    if (isHotRequested) {
      this.hotRequests += 1;
      this.hotServed += [...this._held.values()].some((models) => models.includes('hot')) ? 1 : 0;
    }
    const requested = [...rare, ...(isHotRequested ? ['hot'] : [])];
    const arrivals = requested.map((model) => ({ target: { model }, count: 1, latencyTargetMs: 800 }));
    return { daemon: 'vm1', waiting: [], arrivals, running: [], unreachable: [] };
  }

  private _endLoads(nowMs: number): void {
    for (const [id, load] of this._loads) {
      this._limiter.recordLoad(loadMs, Math.min(nowMs, load.endMs) - load.startedMs, load.concurrentLoads);
      if (nowMs >= load.endMs) {
        this._loads.delete(id);
        this._held.set(id, [...(this._held.get(id) ?? []), load.model]);
      }
    }
  }

  private _start(order: PlannedOrder, nowMs: number): void {
    const concurrentLoads = this._loads.size + 1;
    const endMs = nowMs + loadMs * concurrentLoads;
    this._loads.set(order.replicaId, { model: order.model, startedMs: nowMs, endMs, concurrentLoads });
  }

  private _input(nowMs: number): PlacementInput {
    return {
      models: this._models,
      replicas: this._replicaIds.map((id) => this._replica(id)),
      demands: this._demand.demands(nowMs),
      mayLoadMissing: true,
      maximumStoreLoads: this._limiter.maximumLoads(loadMs),
    };
  }

  private _replica(id: string): PlacedReplica {
    const load = this._loads.get(id);
    const models = this._held.get(id) ?? [];
    return placedReplica(id, {
      models: models.map((name) => ({ name, adapters: [], running: 0, readySinceMs: 0 })),
      onDisk: new Set(models),
      ...(load && { order: { kind: 'load', model: load.model, tier: 'store', expectedDoneMs: load.endMs } }),
    });
  }
}

vitest.describe('loads from a slow weight store', () => {
  vitest.test(
    'serve a model that becomes hot after the load in progress (guards against a store kept busy by cold models)',
    () => {
      const simulation = new StoreLoadSimulation();
      const durationMs = 60_000;
      simulation.run(durationMs);
      // The load in progress and that of the hot model take twice the load time; demand is detected within a second.
      const servedFromMs = hotFromMs + 2 * loadMs + 1_000;
      const leastServed = Math.floor(((durationMs - servedFromMs) / 1_000) * hotRate);
      vitest.expect(simulation.hotRequests).toBe(((durationMs - hotFromMs) / 1_000) * hotRate);
      vitest.expect(simulation.hotServed).toBeGreaterThanOrEqual(leastServed);
    },
  );
});
