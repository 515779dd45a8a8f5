import * as common from '@jayhaven/common';
import {
  EngineClient,
  type EngineFailure,
  type EngineOrder,
  type EngineReport,
  type OrderResponse,
} from '../contracts/index.js';
import type { Replica } from '../Types.js';

/** An in-memory model replica. It executes orders at once and counts the accepted ones in `sequence`. */
export class FakeEngine {
  public sequence = 0;
  public models: string[] = [];
  public adapters: string[] = [];
  public orderInProgress = false;
  public reportReads = 0;
  public readonly orders: EngineOrder[] = [];
  /** Whether responses to orders are lost, and whether the orders are executed in that case. */
  public lostResponses: 'never' | 'carriedOut' | 'dropped' = 'never';

  public order(order: EngineOrder): common.Outcome<OrderResponse, EngineFailure> {
    this.orders.push(order);
    if (this.lostResponses === 'dropped') {
      return common.fail({ message: 'no answer', mayHaveArrived: true });
    }
    const response = this._execute(order);
    return this.lostResponses === 'carriedOut'
      ? common.fail({ message: 'no answer', mayHaveArrived: true })
      : common.succeed(response);
  }

  private _execute(order: EngineOrder): OrderResponse {
    if (this.orderInProgress || order.expectedSequence !== this.sequence) {
      return 'conflict';
    }
    const list = order.adapter === undefined ? this.models : this.adapters;
    const name = order.adapter ?? order.model;
    if (order.kind === 'load' && list.includes(name)) {
      return 'alreadyHolds';
    }
    if (order.kind === 'load') {
      list.push(name);
    } else {
      list.splice(list.indexOf(name), 1);
    }
    this.sequence += 1;
    return 'accepted';
  }
}

/** Client of in-memory engines, which are created on first use. */
export class FakeEngineClient extends EngineClient {
  public readonly engines = new Map<string, FakeEngine>();

  public sendOrder(replica: Replica, order: EngineOrder): Promise<common.Outcome<OrderResponse, EngineFailure>> {
    return Promise.resolve(this._engine(replica).order(order));
  }

  public readReport(replica: Replica): Promise<common.Outcome<EngineReport, EngineFailure>> {
    const engine = this._engine(replica);
    engine.reportReads += 1;
    return Promise.resolve(
      common.succeed({
        models: engine.models.map((name) => ({ name, adapters: name === engine.models[0] ? engine.adapters : [] })),
        loadingAdapters: [],
        orderInProgress: engine.orderInProgress,
        orderSequence: engine.sequence,
        bornMs: replica.bornMs,
      }),
    );
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  private _engine(replica: Replica): FakeEngine {
    const engine = this.engines.get(replica.id) ?? new FakeEngine();
    this.engines.set(replica.id, engine);
    return engine;
  }
}
