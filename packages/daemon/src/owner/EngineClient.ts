import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';
import type { EngineModel, OrderAnswer } from './Types.js';

/** Timeout of one order, milliseconds; the engine answers before the weights are loaded. */
const orderTimeoutMs = 10_000;
/** Timeout of an index read, milliseconds. */
const indexTimeoutMs = 2_000;

const indexSchema = zod.array(
  zod.object({
    name: zod.string(),
    version: zod.string().default(''),
    state: zod.enum(['LOADING', 'READY', 'UNLOADING', 'UNAVAILABLE']),
    adapters: zod.array(zod.string()).default([]),
  }),
);

/** An order to load a model, with the figures that the engine needs. */
export interface EngineLoadOrder extends decisions.ModelVersion {
  readonly target: common.TargetAddress;
  /** Memory per accelerator of the target, cache reservation included. */
  readonly bytes: decisions.AcceleratorBytes;
  /** Cache reservation on each accelerator that the replica uses. */
  readonly cacheBytes: number;
  readonly token: decisions.ClaimOffset;
}

/** An order to load or unload one adapter of a loaded model. */
export interface EngineAdapterOrder extends decisions.ModelVersion {
  readonly target: common.TargetAddress;
  readonly adapter: string;
  readonly bytes: decisions.AcceleratorBytes;
  readonly token: decisions.ClaimOffset;
}

/** Sends orders to engines and reads their index. */
export class EngineClient implements AsyncDisposable {
  // Orders are few; a small number of sockets per engine bounds the resources that one slow engine can hold.
  private readonly _http = new common.JsonHttpClient({ maximumSocketsPerHost: 8 });

  /** Name of a model at an engine. */
  public static modelName(model: decisions.ModelVersion): string {
    return `${model.partner}/${model.model}`;
  }

  /** Orders a load. The order is idempotent: it has no effect on a model that is already loaded. */
  public load(order: EngineLoadOrder): Promise<OrderAnswer> {
    const usedAccelerators = order.bytes.flatMap((bytes, index) => (bytes > 0 ? [{ bytes, index }] : []));
    return this._sendOrder(order.target, modelPath(order, 'load'), {
      parameters: {
        version: order.version,
        bytes: usedAccelerators.map(({ bytes }) => Math.max(0, bytes - order.cacheBytes)),
        accelerators: usedAccelerators.map(({ index }) => index),
        reservation: usedAccelerators.map(({ bytes }) => Math.min(bytes, order.cacheBytes)),
        fencing_token: order.token,
      },
    });
  }

  /** Orders an unload once the running requests have finished. */
  public unload(
    target: common.TargetAddress,
    model: decisions.ModelVersion,
    token: decisions.ClaimOffset,
  ): Promise<OrderAnswer> {
    return this._sendOrder(target, modelPath(model, 'unload'), {
      parameters: { version: model.version, drain: true, fencing_token: token },
    });
  }

  /** Orders the load of an adapter. */
  public loadAdapter(order: EngineAdapterOrder): Promise<OrderAnswer> {
    return this._sendOrder(order.target, '/v1/load_lora_adapter', adapterBody(order));
  }

  /** Orders the unload of an adapter. */
  public unloadAdapter(order: EngineAdapterOrder): Promise<OrderAnswer> {
    return this._sendOrder(order.target, '/v1/unload_lora_adapter', adapterBody(order));
  }

  /** Raises the fencing token. Resolves to true if the engine confirms that it accepts no older token. */
  public async raiseFence(target: common.TargetAddress, token: decisions.ClaimOffset): Promise<boolean> {
    const answer = await this._sendOrder(target, '/v2/fencing', { fencing_token: token });
    return answer.kind === 'accepted';
  }

  /** Reads the index of the models that the engine holds; undefined if it cannot be read. */
  public async readIndex(target: common.TargetAddress): Promise<readonly EngineModel[] | undefined> {
    const outcome = await this._http.request({
      method: 'POST',
      url: `http://${target}/v2/repository/index`,
      body: {},
      timeoutMs: indexTimeoutMs,
    });
    if (!outcome.ok || outcome.value.status !== 200) {
      return undefined;
    }
    const parsed = indexSchema.safeParse(outcome.value.body);
    return parsed.success ? parsed.data : undefined;
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this._http[Symbol.asyncDispose]();
  }

  private async _sendOrder(target: common.TargetAddress, path: string, body: unknown): Promise<OrderAnswer> {
    const outcome = await this._http.request({
      method: 'POST',
      url: `http://${target}${path}`,
      body,
      timeoutMs: orderTimeoutMs,
    });
    if (!outcome.ok) {
      return outcome.failure.mayHaveRun
        ? { kind: 'unknown', message: outcome.failure.message }
        : { kind: 'notDelivered', message: outcome.failure.message };
    }
    return toOrderAnswer(outcome.value);
  }
}

function modelPath(model: decisions.ModelVersion, action: 'load' | 'unload'): string {
  return `/v2/repository/models/${encodeURIComponent(EngineClient.modelName(model))}/${action}`;
}

function adapterBody(order: EngineAdapterOrder): unknown {
  return {
    lora_name: order.adapter,
    lora_path: `${EngineClient.modelName(order)}/${order.adapter}`,
    model: EngineClient.modelName(order),
    version: order.version,
    bytes: order.bytes.filter((bytes) => bytes > 0),
    accelerators: order.bytes.flatMap((bytes, index) => (bytes > 0 ? [index] : [])),
    fencing_token: order.token,
  };
}

function toOrderAnswer(response: common.JsonResponse): OrderAnswer {
  const message = `engine answered ${response.status}: ${JSON.stringify(response.body ?? null).slice(0, 200)}`;
  if (response.status >= 200 && response.status < 300) {
    return { kind: 'accepted' };
  }
  if (response.status === 412) {
    return { kind: 'superseded', message };
  }
  return { kind: 'refused', message };
}
