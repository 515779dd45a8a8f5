import { ReplicaLoads } from '../../routing/ReplicaLoads.js';
import type { Replica } from '../../Types.js';
import { sampleReplica } from '../sampleReplica.js';
import { seededRandom } from '../seededRandom.js';
import { BalanceMeasure, type BalanceResult } from './BalanceMeasure.js';
import { EventQueue } from './EventQueue.js';
import { SimulatedReplica } from './SimulatedReplica.js';
import { SimulatedView } from './SimulatedView.js';

/** An installation and its load. */
export interface BalanceSetting {
  readonly daemons: number;
  readonly replicas: number;
  readonly slots: number;
  readonly requestsPerSecond: number;
  /** Mean age of the leader's loads, which all daemons receive at the same time, milliseconds. */
  readonly reportAgeMs: number;
  /** Share of the capacity that the requests use. */
  readonly utilisation: number;
  /** Number of models that requests name, and of replicas that hold each; absent if each replica takes each request. */
  readonly models?: { readonly count: number; readonly copies: number };
  /** True if replicas state their momentary slowness. */
  readonly statesSlowness: boolean;
  readonly seconds: number;
  readonly seed: number;
}

/** Chooses a replica for a request of a daemon; returns its index. */
export type ChoicePolicy = (view: SimulatedView, holders: readonly number[], nowMs: number) => number;

/** Relative speeds of the replicas. */
const speeds: readonly number[] = [0.6, 1, 1.6];
const failureDomains: readonly string[] = ['a', 'b', 'c'];
const sampleMs = 50;
/** Time before the first sample, milliseconds. */
const startMs = 3_000;
/** Part of the work before the first event. */
const firstEventShare = 0.15;
/** Time that a replica spends on a new connection, milliseconds. */
const handshakeMs = 1;
/** Share of the usual capacity that remains as replicas are slow at times. */
const slowCapacity = 0.91;

/** Many daemons that choose among replicas by outdated loads, without a network or a real clock. */
export class BalanceSimulation {
  private readonly _events = new EventQueue();
  private readonly _random: () => number;
  private readonly _replicas: readonly SimulatedReplica[];
  private readonly _records: readonly Replica[];
  private readonly _views: readonly SimulatedView[];
  private readonly _models: readonly (readonly number[])[];
  private readonly _measure: BalanceMeasure;
  private readonly _workMs: number;

  public constructor(
    private readonly _setting: BalanceSetting,
    private readonly _choose: ChoicePolicy,
  ) {
    const { daemons, replicas, slots, requestsPerSecond, utilisation, seed } = _setting;
    this._random = seededRandom(seed);
    const indexes = Array.from({ length: replicas }, (_, index) => index);
    this._replicas = indexes.map(
      (index) => new SimulatedReplica(slots, speeds[index % 3] ?? 1, this._events, this._random),
    );
    this._records = indexes.map((index) =>
      sampleReplica({ id: `r${index}`, slots, failureDomain: failureDomains[Math.floor(index / 3) % 3] ?? 'a' }),
    );
    const capacity = this._replicas.reduce((sum, { speed }) => sum + speed * slots, 0) * slowCapacity;
    this._workMs = (utilisation * capacity * 1000) / requestsPerSecond;
    this._views = Array.from(
      { length: daemons },
      (_, index) =>
        new SimulatedView(
          this._records,
          new ReplicaLoads(`d${index}`),
          failureDomains[index % 3] ?? 'a',
          this._random,
          requestsPerSecond / daemons,
          daemons,
        ),
    );
    this._models = this._placeModels(indexes);
    this._measure = new BalanceMeasure(this._replicas);
  }

  public run(): BalanceResult {
    this._scheduleRequest();
    this._scheduleReport();
    this._scheduleSample();
    const endMs = startMs + this._setting.seconds * 1000;
    while (this._events.nowMs < endMs) {
      this._events.runNext();
    }
    return this._measure.result();
  }

  private _placeModels(indexes: readonly number[]): readonly (readonly number[])[] {
    const { models } = this._setting;
    if (models === undefined) {
      return [indexes];
    }
    const ranked = indexes.map((index) => ({ index, rank: this._random() }));
    const order = ranked.sort((first, second) => first.rank - second.rank).map(({ index }) => index);
    return Array.from({ length: models.count }, (_, model) =>
      Array.from({ length: models.copies }, (_item, copy) => order[(model * models.copies + copy) % order.length] ?? 0),
    );
  }

  private _scheduleRequest(): void {
    const gapMs = (-Math.log(1 - this._random()) * 1000) / this._setting.requestsPerSecond;
    this._events.schedule(gapMs, () => {
      this._scheduleRequest();
      this._request();
    });
  }

  private _request(): void {
    const nowMs = this._events.nowMs;
    const view = this._views[Math.floor(this._random() * this._views.length)];
    const holders = this._models[Math.floor(this._random() * this._models.length)] ?? [];
    if (view === undefined) {
      return;
    }
    const index = this._choose(view, holders, nowMs);
    const replica = this._replicas[index];
    const record = this._records[index];
    const isMeasured = nowMs >= startMs;
    const isNew = view.takeConnection(index, nowMs);
    view.recordStart(index);
    if (isMeasured) {
      this._measure.recordChoice(isNew, record?.failureDomain === view.failureDomain);
    }
    const workMs = this._workMs * (0.3 - 0.7 * Math.log(1 - this._random()));
    replica?.add(workMs + (isNew ? handshakeMs : 0), firstEventShare, {
      onFirstEvent: (firstMs) => {
        view.recordReport(index, replica.report(this._setting.statesSlowness), firstMs);
        if (isMeasured) {
          this._measure.recordFirstEvent(firstMs - nowMs);
        }
      },
      onEnd: (endMs, runMs) => {
        view.recordEnd(index, runMs, endMs);
      },
    });
  }

  /** The leader sends the loads at intervals of the mean age, and what it sends is half an interval old. */
  private _scheduleReport(): void {
    const { reportAgeMs } = this._setting;
    const totals = this._replicas.map(({ total }) => total);
    const asOfMs = this._events.nowMs;
    this._events.schedule(reportAgeMs / 2, () => {
      for (const view of this._views) {
        view.recordLeaderTotals(totals, asOfMs);
      }
    });
    this._events.schedule(reportAgeMs, () => {
      this._scheduleReport();
    });
  }

  private _scheduleSample(): void {
    this._events.schedule(sampleMs, () => {
      if (this._events.nowMs >= startMs) {
        this._measure.sample();
      }
      this._scheduleSample();
    });
  }
}
