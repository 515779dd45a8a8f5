import type { ListenOptions } from '../Types.js';

/** Options of the engine stand-in. */
export interface EngineOptions extends ListenOptions {
  /** Memory of each accelerator, bytes. */
  readonly accelerators?: readonly number[];
  /** Whether orders with an old fencing token are refused. */
  readonly fencing?: 'checked' | 'ignored';
  /** Maximum number of sequences in one batch. */
  readonly slots?: number;
  /** Maximum number of requests that wait for a slot; further ones are refused. */
  readonly queueLimit?: number;
  /** Time between tokens, milliseconds. */
  readonly tokenMs?: number;
  /** Time to the first token without a cached prefix, milliseconds. */
  readonly firstTokenMs?: number;
  /** Base URL of the weight store; without one, a remote load takes only `loadMs`. */
  readonly weightStore?: string;
  /** Duration of a load without the transfer, milliseconds. */
  readonly loadMs?: number;
  /** Delay before a load report is visible, milliseconds. */
  readonly loadLagMs?: number;
  /** Delay before a cache event is visible, milliseconds. */
  readonly cacheEventLagMs?: number;
  /** Share of cache events that are lost, 0 to 1. */
  readonly cacheEventLoss?: number;
  /** Maximum number of blocks in the prefix cache. */
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

/** Fastest storage tier that holds a checkpoint of a model. */
export type CheckpointTier = 'memory' | 'disk' | 'remote';

/** State of a model in the repository index. */
export type ModelState = 'LOADING' | 'READY' | 'UNLOADING' | 'UNAVAILABLE';

/** An order as the engine received it. */
export interface OrderRecord {
  readonly timeMs: number;
  readonly action: 'load' | 'unload' | 'loadAdapter' | 'unloadAdapter' | 'raiseToken';
  readonly name: string;
  readonly version?: string;
  readonly token: number | null;
  /** HTTP status of the response. */
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

/** Violation of a rule that the engine checks. */
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
  /** Whether the response carried another request's id. */
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
  /** Number of requests that have ended so far; pass it as `ended_from` to read only later ones. */
  readonly endedRequests: number;
}
