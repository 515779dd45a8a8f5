import type * as common from '@jayhaven/common';
import type { LoadedModel, Replica } from '../Types.js';

/** An order to load or unload a model or one of its adapters. */
export interface EngineOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  /** Number of orders that the replica must have accepted before; a late order has a lower number and is refused. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/** Response to an order. `conflict`: another order is in progress, or the sequence differs. */
export type OrderResponse = 'accepted' | 'alreadyHolds' | 'conflict' | 'refused' | 'otherReplica';

/** Reason why an order or a report request has no response. `mayHaveArrived` is false only if nothing was sent. */
export interface EngineFailure {
  readonly message: string;
  readonly mayHaveArrived: boolean;
}

/** State that a replica reports, up to some hundred milliseconds old. */
export interface EngineReport {
  readonly models: readonly LoadedModel[];
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly loadingAdapters: readonly string[];
  readonly orderInProgress: boolean;
  readonly orderSequence: number;
  readonly bornMs: number;
}

/** Sends orders to model replicas and reads their reports. */
export abstract class EngineClient implements AsyncDisposable {
  /** Sends an order. `mayWrite` is called immediately before the first byte; if it returns false, nothing is sent. */
  public abstract sendOrder(
    replica: Replica,
    order: EngineOrder,
    mayWrite: () => boolean,
  ): Promise<common.Outcome<OrderResponse, EngineFailure>>;
  public abstract readReport(replica: Replica): Promise<common.Outcome<EngineReport, EngineFailure>>;
  public abstract [Symbol.asyncDispose](): Promise<void>;
}
