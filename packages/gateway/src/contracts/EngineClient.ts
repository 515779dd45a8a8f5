import type * as common from '@jayhaven/common';
import type { LoadedModel, Replica } from '../Types.js';

/** An order to load or unload a model or one of its adapters. */
export interface EngineOrder {
  readonly kind: 'load' | 'unload';
  readonly model: string;
  readonly adapter?: string;
  /** Number of orders that the replica must have accepted before; a late order no longer fits and is refused. */
  readonly expectedSequence: number;
  readonly holder: string;
  readonly fencingToken: number;
}

/** Answer to an order. `conflict`: another order is in progress, or the sequence differs. */
export type OrderAnswer = 'accepted' | 'alreadyHolds' | 'conflict' | 'refused' | 'otherReplica';

/** Why an order or report has no answer. `mayHaveArrived` is false only if nothing was sent. */
export interface EngineFailure {
  readonly message: string;
  readonly mayHaveArrived: boolean;
}

/** A replica's state as it reports it, some hundred milliseconds old. */
export interface EngineReport {
  readonly models: readonly LoadedModel[];
  /** Adapters that are being loaded, as `model/adapter`. */
  readonly arrivingAdapters: readonly string[];
  readonly orderInProgress: boolean;
  readonly orderSequence: number;
  readonly bornMs: number;
}

/** Client for orders to model replicas. */
export abstract class EngineClient implements AsyncDisposable {
  /** Sends an order. `mayWrite` is asked at the last moment before its first byte; if false, the order is not sent. */
  public abstract sendOrder(
    replica: Replica,
    order: EngineOrder,
    mayWrite: () => boolean,
  ): Promise<common.Outcome<OrderAnswer, EngineFailure>>;
  public abstract readReport(replica: Replica): Promise<common.Outcome<EngineReport, EngineFailure>>;
  public abstract [Symbol.asyncDispose](): Promise<void>;
}
