import * as timers from 'node:timers/promises';
import type { FaultInjector } from '../FaultInjector.js';
import type { AcceleratorMemory } from './AcceleratorMemory.js';
import type { CheckpointCache } from './CheckpointCache.js';
import type { EngineRecords } from './EngineRecords.js';
import type { CheckpointTier, EngineOptions, ModelState } from './Types.js';

/** Interval at which a hanging load checks whether the fault is cleared, milliseconds. */
const hangCheckMs = 20;

/** One adapter of a loaded model. */
interface AdapterEntry {
  readonly bytes: readonly number[];
  state: 'loading' | 'ready';
}

/** One version of a model on this engine. */
export interface ModelEntry {
  readonly name: string;
  readonly version: string;
  readonly bytes: readonly number[];
  readonly adapters: Map<string, AdapterEntry>;
  readonly abort: AbortController;
  state: ModelState;
  reason: string | undefined;
  /** Number of requests that use the model. */
  inUse: number;
}

/** Result of an order. */
export interface OrderResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Faults of loads, set at run time. */
export interface LoadFaults {
  hangLoads: boolean;
  readonly failLoads: FaultInjector;
}

/** Components that `ModelRepository` uses. */
export interface RepositoryComponents {
  readonly options: EngineOptions;
  readonly memory: AcceleratorMemory;
  readonly checkpoints: CheckpointCache;
  readonly records: EngineRecords;
  readonly faults: LoadFaults;
  readonly onChange: () => void;
  /** Ends the requests of a model that is unloaded without drain. */
  readonly endRequests: (entry: ModelEntry) => void;
}

/** Models and adapters that are loaded, loading or unloading. */
export class ModelRepository {
  private readonly _entries = new Map<string, ModelEntry>();

  public constructor(private readonly _components: RepositoryComponents) {}

  /** Returns the most recently added ready version of a model. */
  public readyModel(name: string): ModelEntry | undefined {
    return [...this._entries.values()].reverse().find((entry) => entry.name === name && entry.state === 'READY');
  }

  /** Returns the index in the format of the repository API. */
  public index(): readonly unknown[] {
    return [...this._entries.values()].map((entry) => ({
      name: entry.name,
      version: entry.version,
      state: entry.state,
      reason: entry.reason ?? '',
      adapters: [...entry.adapters].filter(([, adapter]) => adapter.state === 'ready').map(([adapter]) => adapter),
    }));
  }

  /** Starts a load and returns immediately. The order is idempotent. */
  public load(name: string, version: string, bytes: readonly number[]): OrderResponse {
    const key = `${name}@${version}`;
    const existing = this._entries.get(key);
    if (existing?.state === 'UNLOADING') {
      return errorResponse(409, 'unloading', `${key} is being unloaded`);
    }
    if (existing && existing.state !== 'UNAVAILABLE') {
      return { status: 200, body: { state: existing.state } };
    }
    const entry: ModelEntry = {
      ...{ name, version, bytes, adapters: new Map(), abort: new AbortController() },
      ...{ state: 'LOADING', reason: undefined, inUse: 0 },
    };
    this._entries.delete(key);
    this._entries.set(key, entry);
    this._allocate(bytes, key);
    const tier = this._components.checkpoints.tierOf(key);
    this._setState(entry, 'LOADING', undefined, tier);
    void this._runLoad(entry, key, tier);
    return { status: 200, body: { state: 'LOADING' } };
  }

  /** Unloads a version, or all versions. With `drain`, the memory is freed after the last request. */
  public unload(name: string, version: string | undefined, drain: boolean): OrderResponse {
    const entries = [...this._entries.values()].filter(
      (entry) => entry.name === name && (version === undefined || entry.version === version),
    );
    for (const entry of entries) {
      if (entry.state === 'LOADING') {
        entry.abort.abort();
        this._free(entry, 'unloaded while loading');
      } else if (entry.state === 'READY') {
        this._setState(entry, 'UNLOADING');
        if (!drain) {
          this._components.endRequests(entry);
        }
        this._freeIfUnused(entry);
      } else if (entry.state === 'UNLOADING' && !drain) {
        this._components.endRequests(entry);
      }
    }
    return { status: 200, body: {} };
  }

  /** Loads an adapter. Resolves once it is ready or has failed. */
  public async loadAdapter(name: string, adapter: string, bytes: readonly number[]): Promise<OrderResponse> {
    const entry = this.readyModel(name);
    if (!entry) {
      return errorResponse(404, 'model_not_loaded', `${name} is not ready`);
    }
    if (entry.adapters.get(adapter)?.state === 'ready') {
      return { status: 200, body: { state: 'READY' } };
    }
    const loading: AdapterEntry = { bytes, state: 'loading' };
    if (!entry.adapters.has(adapter)) {
      entry.adapters.set(adapter, loading);
      this._allocate(bytes, `${name}:${adapter}`);
      this._recordAdapter(name, adapter, 'loading');
    }
    const transferred = await this._transfer(`${name}:${adapter}`, sum(bytes), 'adapter', entry.abort.signal);
    const current = entry.adapters.get(adapter);
    if (!current) {
      return errorResponse(409, 'unloaded', `${adapter} was unloaded while it was loading`);
    }
    if (!transferred || this._components.faults.failLoads.shouldInject()) {
      this._removeAdapter(entry, adapter, 'failed');
      return errorResponse(500, 'load_failed', `${adapter} could not be loaded`);
    }
    current.state = 'ready';
    this._recordAdapter(name, adapter, 'ready');
    return { status: 200, body: { state: 'READY' } };
  }

  /** Unloads an adapter from every version of its model. */
  public unloadAdapter(name: string, adapter: string): OrderResponse {
    for (const entry of this._entries.values()) {
      if (entry.name === name && entry.adapters.has(adapter)) {
        this._removeAdapter(entry, adapter, 'unloaded');
      }
    }
    return { status: 200, body: {} };
  }

  public beginUse(entry: ModelEntry): void {
    entry.inUse += 1;
  }

  public endUse(entry: ModelEntry): void {
    entry.inUse -= 1;
    this._freeIfUnused(entry);
  }

  public stop(): void {
    for (const entry of this._entries.values()) {
      entry.abort.abort();
    }
  }

  private async _runLoad(entry: ModelEntry, key: string, tier: CheckpointTier): Promise<void> {
    const { options, faults, checkpoints } = this._components;
    const signal = entry.abort.signal;
    const bytes = sum(entry.bytes);
    let loaded = true;
    if (tier === 'remote') {
      loaded = await this._transfer(key, bytes, 'model', signal);
    } else {
      const rate = tier === 'memory' ? (options.memoryBytesPerSecond ?? 100e9) : (options.diskBytesPerSecond ?? 40e9);
      await sleep((bytes / rate) * 1000, signal);
    }
    await sleep(options.loadMs ?? 0, signal);
    while (faults.hangLoads && !signal.aborted) {
      await sleep(hangCheckMs, signal);
    }
    if (signal.aborted) {
      return;
    }
    if (!loaded || faults.failLoads.shouldInject()) {
      this._free(entry, 'load failed');
      return;
    }
    checkpoints.keep(key, bytes);
    this._setState(entry, 'READY');
  }

  /** Waits for a transfer from the weight store. Returns whether it succeeded. */
  private async _transfer(name: string, bytes: number, kind: string, signal: AbortSignal): Promise<boolean> {
    const store = this._components.options.weightStore;
    if (store === undefined) {
      return true;
    }
    try {
      const url = `${store}/weights/${encodeURIComponent(name)}?bytes=${bytes}&kind=${kind}`;
      const response = await fetch(url, { signal });
      await response.arrayBuffer();
      return response.ok;
    } catch {
      return false;
    }
  }

  private _allocate(bytes: readonly number[], owner: string): void {
    const overcommitted = this._components.memory.allocate(bytes);
    if (overcommitted.length > 0) {
      const used = this._components.memory.usedBytes.join(',');
      const message = `${owner}: accelerators ${overcommitted.join(',')} are over their size, used bytes ${used}`;
      this._components.records.addViolation({ timeMs: Date.now(), rule: 'memoryOvercommitted', message });
    }
  }

  private _freeIfUnused(entry: ModelEntry): void {
    if (entry.state === 'UNLOADING' && entry.inUse === 0) {
      this._free(entry, 'unloaded');
    }
  }

  private _free(entry: ModelEntry, reason: string): void {
    for (const adapter of [...entry.adapters.keys()]) {
      this._removeAdapter(entry, adapter, 'unloaded');
    }
    this._components.memory.release(entry.bytes);
    this._setState(entry, 'UNAVAILABLE', reason);
  }

  private _removeAdapter(entry: ModelEntry, adapter: string, state: 'unloaded' | 'failed'): void {
    this._components.memory.release(entry.adapters.get(adapter)?.bytes ?? []);
    entry.adapters.delete(adapter);
    this._recordAdapter(entry.name, adapter, state);
  }

  private _recordAdapter(name: string, adapter: string, state: 'loading' | 'ready' | 'unloaded' | 'failed'): void {
    this._components.records.addAdapter({ timeMs: Date.now(), name, adapter, state });
  }

  private _setState(entry: ModelEntry, state: ModelState, reason?: string, tier?: CheckpointTier): void {
    entry.state = state;
    entry.reason = reason;
    this._components.records.addModel({
      timeMs: Date.now(),
      name: entry.name,
      version: entry.version,
      state,
      usedBytes: this._components.memory.usedBytes,
      ...(reason === undefined ? {} : { reason }),
      ...(tier === undefined ? {} : { tier }),
    });
    this._components.onChange();
  }
}

function errorResponse(status: number, type: string, message: string): OrderResponse {
  return { status, body: { error: { type, message } } };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Waits for a duration. Resolves early when the signal aborts. */
async function sleep(durationMs: number, signal: AbortSignal): Promise<void> {
  if (durationMs > 0) {
    await timers.setTimeout(durationMs, undefined, { signal }).catch(() => undefined);
  }
}
