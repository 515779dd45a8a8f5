import * as common from '@jayhaven/common';
import type * as http from 'node:http';
import * as zod from 'zod';

const orderSchema = zod.object({
  parameters: zod.object({
    version: zod.string(),
    bytes: zod.array(zod.number()).optional(),
    fencing_token: zod.number(),
  }),
});
const adapterSchema = zod.object({ lora_name: zod.string(), model: zod.string(), fencing_token: zod.number() });
const fenceSchema = zod.object({ fencing_token: zod.number() });

interface LoadedModel {
  readonly name: string;
  readonly version: string;
  state: 'LOADING' | 'READY';
  readonly adapters: string[];
}

/** Test engine that loads models after a fixed time and records the orders in the sequence of arrival. */
export class ScriptedEngine implements AsyncDisposable {
  /** Orders in the sequence of arrival, such as `load solano/m` or `refused load solano/m`. */
  public readonly orders: string[] = [];
  public readonly models = new Map<string, LoadedModel>();
  public loadMs = 60;
  /** Number of running requests that the load report contains. */
  public running = 0;
  /** If set, load orders are not executed and their response has this status. */
  public failStatus: number | undefined;
  /** If true, orders are executed but the connection is closed before the response. */
  public dropResponses = false;
  /** Called when an order arrives, before it takes effect. */
  public beforeOrder: (order: string) => Promise<void> | void = () => undefined;
  private _fencingToken = -1;
  private _sequence = 0;

  private constructor(
    private readonly _fencing: 'checked' | 'ignored',
    private _listener: common.HttpListener | undefined,
  ) {}

  /** Starts an engine. */
  public static async open(fencing: 'checked' | 'ignored'): Promise<ScriptedEngine> {
    const engine = new ScriptedEngine(fencing, undefined);
    engine._listener = await common.HttpListener.open({ host: '127.0.0.1', port: 0 }, (request, response) => {
      void engine._serve(request, response);
    });
    return engine;
  }

  public get address(): string {
    return `127.0.0.1:${this._listener?.port ?? 0}`;
  }

  /** Clears models, fencing token and sequence number, as the restart of an engine does. */
  public restart(): void {
    this.models.clear();
    this._fencingToken = -1;
    this._sequence = 0;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this._listener?.closeAllConnections();
    await this._listener?.[Symbol.asyncDispose]();
  }

  private async _serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body: unknown = JSON.parse((await common.readBody(request, 1e6)) || '{}');
    const path = decodeURIComponent(request.url ?? '');
    if (path === '/v2/repository/index') {
      common.sendJson(response, 200, [...this.models.values()]);
    } else if (path === '/v2/load') {
      this._sequence += 1;
      common.sendJson(response, 200, {
        sequence: this._sequence,
        running: this.running,
        waiting: 0,
        slots: 8,
        free_bytes: [],
      });
    } else {
      const status = await this._handleOrder(path, body);
      if (this.dropResponses) {
        request.socket.destroy();
      } else {
        common.sendJson(response, status, {});
      }
    }
  }

  private async _handleOrder(path: string, body: unknown): Promise<number> {
    const match = /^\/v2\/repository\/models\/(.+)\/(load|unload)$/.exec(path);
    if (match !== null) {
      const { parameters } = orderSchema.parse(body);
      const [, name = '', action = ''] = match;
      return this._execute(`${action} ${name}`, parameters.fencing_token, () =>
        action === 'load' ? this._load(name, parameters.version) : this._unload(name, parameters.version),
      );
    }
    if (path === '/v2/fencing') {
      return this._execute('fence', fenceSchema.parse(body).fencing_token, () => 200);
    }
    const { lora_name: adapter, model, fencing_token: token } = adapterSchema.parse(body);
    const action = path === '/v1/load_lora_adapter' ? 'loadAdapter' : 'unloadAdapter';
    return this._execute(`${action} ${model}:${adapter}`, token, () => this._changeAdapter(action, model, adapter));
  }

  private async _execute(order: string, token: number, run: () => number): Promise<number> {
    await this.beforeOrder(order);
    if (this._fencing === 'checked' && token < this._fencingToken) {
      this.orders.push(`refused ${order}`);
      return 412;
    }
    this._fencingToken = Math.max(this._fencingToken, token);
    this.orders.push(order);
    return run();
  }

  private _load(name: string, version: string): number {
    if (this.failStatus !== undefined) {
      return this.failStatus;
    }
    const key = `${name}@${version}`;
    if (!this.models.has(key)) {
      const model: LoadedModel = { name, version, state: 'LOADING', adapters: [] };
      this.models.set(key, model);
      setTimeout(() => {
        model.state = 'READY';
      }, this.loadMs);
    }
    return 200;
  }

  private _unload(name: string, version: string): number {
    this.models.delete(`${name}@${version}`);
    return 200;
  }

  private _changeAdapter(action: string, name: string, adapter: string): number {
    const model = [...this.models.values()].find((entry) => entry.name === name && entry.state === 'READY');
    if (model === undefined) {
      return 404;
    }
    const index = model.adapters.indexOf(adapter);
    if (action === 'loadAdapter' && index < 0) {
      model.adapters.push(adapter);
    } else if (action === 'unloadAdapter' && index >= 0) {
      model.adapters.splice(index, 1);
    }
    return 200;
  }
}
