import type { ModelSettings } from '../Types.js';
import type { ModelUsage } from './Types.js';

/** Decides how long an idle replica stays loaded and when a model is loaded ahead of its next request. */
export abstract class KeepAlivePolicy {
  /** Name for reasons and the time line. */
  public abstract readonly name: string;

  /**
   * Idle time after which a replica is unloaded; `Infinity` keeps it until memory is needed. Without a load time, the
   * configured one applies.
   */
  public abstract keepAliveMs(settings: ModelSettings, usage: ModelUsage, loadMs?: number): number;

  /** Time since the last use at which to load the model again; undefined if it waits for a request. */
  public abstract prewarmAfterMs(settings: ModelSettings, usage: ModelUsage, loadMs: number): number | undefined;

  /** Chance, 0 to 1, that the model is used within the horizon. Weighs the cost of evicting it. */
  public useProbability(_settings: ModelSettings, usage: ModelUsage, horizonMs: number, nowMs: number): number {
    // Recency alone: half after one horizon of idle time, less afterwards.
    return horizonMs / (horizonMs + Math.max(0, nowMs - usage.lastUsedMs));
  }
}
