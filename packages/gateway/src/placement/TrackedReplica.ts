import type { EngineReport } from '../contracts/EngineClient.js';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import type { Replica } from '../Types.js';
import { rateLimitedSlots } from './rateLimits.js';
import type { OrderInProgress, PlacedModel, PlacedRateLimit, PlacedReplica, PlannedOrder } from './Types.js';

interface TrackedModel {
  readonly adapters: Map<string, number>;
  readonly readySinceMs: number;
}

/** Time for which an order of a former leader counts as a load from the weight store, which it may be, milliseconds. */
const formerOrderMs = 30_000;

/** Requests that run on a replica, in total and by model. */
export interface RunningCounts {
  total: number;
  readonly byModel: Map<string, number>;
}

/** The leader's state of one replica: its models, the number of accepted orders, and the order in progress. */
export class TrackedReplica {
  private readonly _models = new Map<string, TrackedModel>();
  private readonly _loadedModels = new Set<string>();
  /** Number of orders that the replica has accepted; undefined until its report has been read. */
  public sequence: number | undefined;
  /** True while the replica's state is being read, which includes the wait for an order of a former leader. */
  public isSyncing = false;
  public order: OrderInProgress | undefined;
  /** Time since which reports show an order of a former leader, steady milliseconds. */
  private _formerOrderSinceMs: number | undefined;
  private _clearingFor: string | undefined;
  /** Models that take no new requests, with the time at which that began, steady milliseconds. */
  private readonly _retiringSinceMs = new Map<string, number>();
  /** No order is sent before this time, steady milliseconds. */
  public backoffUntilMs = 0;

  public constructor(public replica: Replica) {}

  /** Applies a report unless it is older than the last accepted order; an authoritative report is always applied. */
  public sync(report: EngineReport, nowMs: number, isAuthoritative: boolean): boolean {
    const isOlder = report.orderSequence < (this.sequence ?? 0) && !isAuthoritative;
    if (report.bornMs !== this.replica.bornMs || isOlder) {
      return false;
    }
    const before = new Map(this._models);
    this._models.clear();
    for (const held of report.models) {
      const previous = before.get(held.name);
      const adapters = held.adapters.map((name) => [name, previous?.adapters.get(name) ?? nowMs] as const);
      this._models.set(held.name, { adapters: new Map(adapters), readySinceMs: previous?.readySinceMs ?? 0 });
    }
    for (const arriving of report.loadingAdapters) {
      const [model = '', name = ''] = arriving.split('/');
      this._models.get(model)?.adapters.set(name.replace(/@.*$/, ''), nowMs);
    }
    this.sequence = report.orderSequence;
    return true;
  }

  /** Records whether a report shows an order that this leader did not send. */
  public recordFormerOrder(isInProgress: boolean, nowMs: number): void {
    this._formerOrderSinceMs = isInProgress ? (this._formerOrderSinceMs ?? nowMs) : undefined;
  }

  /** True while an order of a former leader is in progress, which may be a load from the weight store. */
  public hasFormerOrder(nowMs: number): boolean {
    return this._formerOrderSinceMs !== undefined && nowMs - this._formerOrderSinceMs < formerOrderMs;
  }

  /** Applies the completion of a load or unload. */
  public finish(order: Pick<PlannedOrder, 'kind' | 'model' | 'adapter'>, nowMs: number): void {
    if (order.adapter !== undefined) {
      this._finishAdapter(order.kind, order.model, order.adapter, nowMs);
    } else if (order.kind === 'unload') {
      this._models.delete(order.model);
      this._retiringSinceMs.delete(order.model);
    } else {
      this._models.set(order.model, { adapters: new Map(), readySinceMs: nowMs });
      this._loadedModels.add(order.model);
    }
  }

  /** Reserves the replica for a model, or ends the reservation. Retiring models take no new requests until it ends. */
  public clearFor(model: string | undefined, retiring: readonly string[], nowMs: number): void {
    if (model !== this._clearingFor) {
      this._retiringSinceMs.clear();
    }
    this._clearingFor = model;
    for (const name of retiring) {
      this._retiringSinceMs.set(name, this._retiringSinceMs.get(name) ?? nowMs);
    }
  }

  /** Model that the replica is being cleared for. */
  public get clearingFor(): string | undefined {
    return this._clearingFor;
  }

  /** Updates the time at which an adapter was last used. */
  public touchAdapter(model: string, adapter: string, nowMs: number): void {
    const adapters = this._models.get(model)?.adapters;
    if (adapters?.has(adapter)) {
      adapters.set(adapter, nowMs);
    }
  }

  public holds(model: string): boolean {
    return this._models.has(model);
  }

  /** Models that the daemons may send requests to: those neither being unloaded nor retiring. */
  public holdings(): ReplicaHoldings {
    const unloading = this.order?.kind === 'unload' ? this.order.model : undefined;
    const models = [...this._models].filter(([name]) => name !== unloading && !this._retiringSinceMs.has(name));
    return {
      replicaId: this.replica.id,
      bornMs: this.replica.bornMs,
      models: models.map(([name, model]) => ({ name, adapters: [...model.adapters.keys()] })),
    };
  }

  /** The state of the replica for the planner. */
  public toPlacedReplica(
    limits: Pick<PlacedReplica, 'weightMegabytes' | 'adapterSlots' | 'slowness'>,
    running: RunningCounts | undefined,
    isUnreachable: boolean,
    nowMs: number,
    rateLimit?: PlacedRateLimit,
  ): PlacedReplica {
    const { replica } = this;
    const takesRequests = replica.state === 'ready' && !isUnreachable;
    const models = [...this._models].map(([name, model]) => this._placedModel(name, model, running));
    return {
      id: replica.id,
      ...limits,
      slots: rateLimitedSlots(replica.slots, rateLimit),
      softwareVersion: replica.softwareVersion,
      takesRequests,
      takesOrders: takesRequests && this._isStateKnown && nowMs >= this.backoffUntilMs,
      models,
      inMemory: new Set(replica.inMemory),
      onDisk: new Set([...replica.onDisk, ...this._loadedModels, ...this._models.keys()]),
      running: running?.total ?? 0,
      hasFormerOrder: this.hasFormerOrder(nowMs),
      ...(rateLimit && { rateLimit }),
      ...(this.order && { order: this.order }),
      ...(this._clearingFor !== undefined && { clearingFor: this._clearingFor }),
    };
  }

  private _placedModel(name: string, model: TrackedModel, running: RunningCounts | undefined): PlacedModel {
    const retiringSinceMs = this._retiringSinceMs.get(name);
    return {
      name,
      adapters: [...model.adapters].map(([adapter, lastUsedMs]) => ({ name: adapter, lastUsedMs })),
      running: running?.byModel.get(name) ?? 0,
      readySinceMs: model.readySinceMs,
      ...(retiringSinceMs !== undefined && { retiringSinceMs }),
    };
  }

  private get _isStateKnown(): boolean {
    return this.sequence !== undefined && !this.isSyncing;
  }

  private _finishAdapter(kind: 'load' | 'unload', model: string, adapter: string, nowMs: number): void {
    const adapters = this._models.get(model)?.adapters;
    if (kind === 'load') {
      adapters?.set(adapter, nowMs);
    } else {
      adapters?.delete(adapter);
    }
  }
}
