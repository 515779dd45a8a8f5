import * as vitest from 'vitest';
import type { DaemonReport } from '../peers/Types.js';
import { placedReplica } from '../testing/placedReplica.js';
import type { ModelSpecification } from '../Types.js';
import { DemandBook } from './DemandBook.js';
import { planModels } from './planPlacement.js';
import { StorePace } from './StorePace.js';
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
  readonly loadsAtOnce: number;
}

function specification(name: string): [string, ModelSpecification] {
  const times = { memory: 300, disk: 600, store: loadMs };
  return [name, { name, weightMegabytes: 60_000, adapterMegabytes: 40, loadMs: times }];
}

/**
 * Plays a store that runs one load at full speed, so that the k-th load at once takes k times as long. No replica has a copy
 * of any model; thirty are asked for now and then, and one is in much demand from a moment on. Requests are refused at
 * once, so none waits.
 */
class StoreLoadPlay {
  public hotServed = 0;
  public hotAsked = 0;
  private readonly _demand = new DemandBook();
  private readonly _pace = new StorePace();
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
    const isHotAsked = nowMs >= hotFromMs && nowMs % (1_000 / hotRate) === 0;
    if (isHotAsked) {
      this.hotAsked += 1;
      this.hotServed += [...this._held.values()].some((models) => models.includes('hot')) ? 1 : 0;
    }
    const asked = [...rare, ...(isHotAsked ? ['hot'] : [])];
    const arrivals = asked.map((model) => ({ target: { model }, count: 1, latencyTargetMs: 800 }));
    return { daemon: 'vm1', waiting: [], arrivals, running: [], unreachable: [] };
  }

  private _endLoads(nowMs: number): void {
    for (const [id, load] of this._loads) {
      this._pace.recordLoad(loadMs, Math.min(nowMs, load.endMs) - load.startedMs, load.loadsAtOnce);
      if (nowMs >= load.endMs) {
        this._loads.delete(id);
        this._held.set(id, [...(this._held.get(id) ?? []), load.model]);
      }
    }
  }

  private _start(order: PlannedOrder, nowMs: number): void {
    const loadsAtOnce = this._loads.size + 1;
    const endMs = nowMs + loadMs * loadsAtOnce;
    this._loads.set(order.replicaId, { model: order.model, startedMs: nowMs, endMs, loadsAtOnce });
  }

  private _input(nowMs: number): PlacementInput {
    return {
      models: this._models,
      replicas: this._replicaIds.map((id) => this._replica(id)),
      demands: this._demand.demands(nowMs),
      mayCover: true,
      maximumStoreLoads: this._pace.maximumLoads(loadMs),
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
    'serve a model that becomes hot after one load under way (guards against a store bound by cold models)',
    () => {
      const play = new StoreLoadPlay();
      const dayMs = 60_000;
      play.run(dayMs);
      // The load under way and the one of the hot model take twice the load time, and a demand is noticed within a second.
      const servedFromMs = hotFromMs + 2 * loadMs + 1_000;
      const leastServed = Math.floor(((dayMs - servedFromMs) / 1_000) * hotRate);
      vitest.expect(play.hotAsked).toBe(((dayMs - hotFromMs) / 1_000) * hotRate);
      vitest.expect(play.hotServed).toBeGreaterThanOrEqual(leastServed);
    },
  );
});
