import * as decisions from '@jayhaven/decisions';
import * as standins from '@jayhaven/standins';
import type { CheckpointTier, Workload } from './Types.js';

/** Read rate of each tier, bytes per millisecond. */
const bytesPerMs: Readonly<Record<CheckpointTier, number>> = { memory: 20e6, disk: 5e6, remote: 2e6 };
/** Time to start the engine's process for a model. */
const startMs = 2_000;
/** Size of a VM's checkpoint caches per accelerator, bytes. */
const memoryCacheBytes = 100e9;
const diskCacheBytes = 400e9;

interface LoadedReplica {
  readonly target: string;
  bytes: readonly number[];
}

/** Simulates the engines and the weight store: load times by checkpoint tier, and an independent count of memory. */
export class VirtualEngines {
  /** Highest share of any accelerator's memory that was in use. */
  public highestMemoryShare = 0;
  public readonly tiers: Record<CheckpointTier, number> = { memory: 0, disk: 0, remote: 0 };
  private readonly _loaded = new Map<decisions.ReplicaId, LoadedReplica>();
  private readonly _capacity: ReadonlyMap<string, readonly number[]>;
  private readonly _caches = new Map<
    string,
    { readonly memory: Map<string, number>; readonly disk: Map<string, number> }
  >();
  private readonly _random: standins.RandomSource;
  private _nextStoreStartMs = 0;

  public constructor(private readonly _workload: Workload) {
    this._random = new standins.RandomSource(_workload.seed + 17);
    this._capacity = new Map(_workload.engines.map((engine) => [engine.address, engine.acceleratorBytes]));
    for (const engine of _workload.engines) {
      this._caches.set(engine.address, { memory: new Map(), disk: new Map() });
    }
    this._fillCaches();
  }

  /** Starts a load and returns its duration. */
  public load(replica: decisions.ReplicaEntry, weightBytes: number, nowMs: number): number {
    this._loaded.set(replica.replica, { target: replica.target, bytes: replica.bytes });
    this._updateHighestMemoryShare(replica.target);
    const tier = this._tierOf(replica.target, replica.model);
    this.tiers[tier] += 1;
    const waitMs = tier === 'remote' ? this._storeDelayMs(nowMs) : 0;
    this._cacheCheckpoint(replica.target, replica.model, weightBytes);
    const variation = 0.95 + 0.1 * this._random.next();
    return waitMs + (startMs + weightBytes / bytesPerMs[tier]) * variation;
  }

  /** Adds an adapter's memory to a replica, and returns the duration of its load. */
  public loadAdapter(replica: decisions.ReplicaId, bytes: readonly number[]): number {
    const loaded = this._loaded.get(replica);
    if (loaded !== undefined) {
      loaded.bytes = decisions.addBytes(loaded.bytes, bytes);
      this._updateHighestMemoryShare(loaded.target);
    }
    return 5 + 5 * this._random.next();
  }

  /** Releases the memory of an adapter. */
  public unloadAdapter(replica: decisions.ReplicaId, bytes: readonly number[]): void {
    const loaded = this._loaded.get(replica);
    if (loaded !== undefined) {
      loaded.bytes = loaded.bytes.map((taken, index) => taken - (bytes[index] ?? 0));
    }
  }

  /** Releases the memory of a replica and its adapters. */
  public unload(replica: decisions.ReplicaId): void {
    this._loaded.delete(replica);
  }

  private _updateHighestMemoryShare(target: string): void {
    const capacity = this._capacity.get(target) ?? [];
    capacity.forEach((size, index) => {
      let used = 0;
      for (const loaded of this._loaded.values()) {
        used += loaded.target === target ? (loaded.bytes[index] ?? 0) : 0;
      }
      this.highestMemoryShare = Math.max(this.highestMemoryShare, used / size);
    });
  }

  /** Delay until the weight store starts another load; a burst of up to one second's loads starts without delay. */
  private _storeDelayMs(nowMs: number): number {
    const spacingMs = 1_000 / this._workload.specification.storeLoadsPerSecond;
    const theoreticalMs = Math.max(nowMs, this._nextStoreStartMs);
    this._nextStoreStartMs = theoreticalMs + spacingMs;
    return Math.max(0, theoreticalMs - (1_000 - spacingMs) - nowMs);
  }

  private _tierOf(target: string, model: string): CheckpointTier {
    const cache = this._caches.get(target);
    if (cache?.memory.has(model)) {
      return 'memory';
    }
    return cache?.disk.has(model) ? 'disk' : 'remote';
  }

  private _cacheCheckpoint(target: string, model: string, bytes: number): void {
    const cache = this._caches.get(target);
    const accelerators = this._capacity.get(target)?.length ?? 1;
    if (cache !== undefined) {
      standins.insertLatest(cache.memory, model, bytes, memoryCacheBytes * accelerators);
      standins.insertLatest(cache.disk, model, bytes, diskCacheBytes * accelerators);
    }
  }

  /** Puts each model on the disk of a random share of the VMs; the memory caches start empty. */
  private _fillCaches(): void {
    for (const { model, weightBytes } of this._workload.models) {
      const bytes = decisions.sumBytes(weightBytes);
      for (const { address } of this._workload.engines) {
        if (this._random.next() < 0.15) {
          const cache = this._caches.get(address);
          standins.insertLatest(cache?.disk ?? new Map<string, number>(), model, bytes, diskCacheBytes);
        }
      }
    }
  }
}
