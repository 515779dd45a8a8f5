import type { ListenOptions } from '../Types.js';

/** Options of the engine stand-in. */
export interface EngineOptions extends ListenOptions {
  /** Memory of each accelerator, bytes. */
  readonly accelerators?: readonly number[];
  /** Whether orders with an old fencing token are refused. */
  readonly fencing?: 'checked' | 'ignored';
  /** Sequences in one batch. */
  readonly slots?: number;
  /** Requests that wait for a slot before more are refused. */
  readonly queueLimit?: number;
  /** Time between tokens, milliseconds. */
  readonly tokenMs?: number;
  /** Time to the first token without a cached prefix, milliseconds. */
  readonly firstTokenMs?: number;
  /** Base URL of the weight store; without it a remote load takes only `loadMs`. */
  readonly weightStore?: string;
  /** Time of a load besides the transfer, milliseconds. */
  readonly loadMs?: number;
  /** Age of a load report, milliseconds. */
  readonly loadLagMs?: number;
  /** Age at which a cache event shows, milliseconds. */
  readonly cacheEventLagMs?: number;
  /** Share of cache events that are lost, 0 to 1. */
  readonly cacheEventLoss?: number;
  /** Prefixes that the prefix cache holds. */
  readonly prefixCacheEntries?: number;
  /** Size of the checkpoint cache in memory, bytes. */
  readonly memoryCacheBytes?: number;
  /** Size of the checkpoint cache on disk, bytes. */
  readonly diskCacheBytes?: number;
  /** Load speed from a checkpoint in memory. */
  readonly memoryBytesPerSecond?: number;
  /** Load speed from a checkpoint on disk. */
  readonly diskBytesPerSecond?: number;
  readonly seed?: number;
}

/** Where the nearest checkpoint of a model is. */
export type CheckpointTier = 'memory' | 'disk' | 'remote';

/** State of a model as the repository index shows it. */
export type ModelState = 'LOADING' | 'READY' | 'UNLOADING' | 'UNAVAILABLE';

/** An order as the engine received it. */
export interface OrderRecord {
  readonly timeMs: number;
  readonly action: 'load' | 'unload' | 'loadAdapter' | 'unloadAdapter' | 'raiseToken';
  readonly name: string;
  readonly version?: string;
  readonly token: number | null;
  /** HTTP status of the answer. */
  readonly status: number;
}

/** A change of a model's state. */
export interface ModelRecord {
  readonly timeMs: number;
  readonly name: string;
  readonly version: string;
  readonly state: ModelState;
  /** Memory in use on each accelerator after the change, bytes. */
  readonly usedBytes: readonly number[];
  readonly tier?: CheckpointTier;
  readonly reason?: string;
}

/** A change of an adapter's state. */
export interface AdapterRecord {
  readonly timeMs: number;
  readonly name: string;
  readonly adapter: string;
  readonly state: 'loading' | 'ready' | 'unloaded' | 'failed';
}

/** A rule that was broken. */
export interface ViolationRecord {
  readonly timeMs: number;
  readonly rule: 'memoryOvercommitted' | 'adapterWithoutModel';
  readonly message: string;
}

/** A completion request. */
export interface RequestRecord {
  readonly id: string;
  readonly model: string;
  readonly urgency: 'interactive' | 'batch';
  readonly promptHash: string;
  readonly resumeFrom: number;
  readonly maximumTokens: number;
  readonly arrivedMs: number;
  startedMs?: number;
  endedMs?: number;
  outcome: 'waiting' | 'running' | 'finished' | 'cancelled' | 'truncated' | 'unloaded' | 'refused';
  refusal?: string;
  tokens: number;
  /** The answer carried another request's id. */
  crossed?: boolean;
}

/** All records, as `GET /control/records` returns them. */
export interface EngineRecordList {
  readonly accelerators: readonly number[];
  readonly fencing: 'checked' | 'ignored';
  readonly orders: readonly OrderRecord[];
  readonly models: readonly ModelRecord[];
  readonly adapters: readonly AdapterRecord[];
  readonly violations: readonly ViolationRecord[];
  readonly requests: readonly RequestRecord[];
  /** Requests that have ended so far; the next reader may ask for later ones only. */
  readonly endedRequests: number;
}
