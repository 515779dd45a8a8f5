import type { ModelSettings } from '../Types.js';
import type { ModelUsage } from './Types.js';

/** Decides how long an idle replica stays loaded and when a model is loaded ahead of its next request. */
export abstract class KeepAlivePolicy {
  /** Name of the policy in decision reasons and in the time line. */
  public abstract readonly name: string;

  /**
   * Idle time after which a replica is unloaded; `Infinity` keeps it until memory is needed. Without `loadMs`, the
   * configured load time applies.
   */
  public abstract keepAliveMs(settings: ModelSettings, usage: ModelUsage, loadMs?: number): number;

  /** Time since the last use after which the model is loaded again; undefined if it is loaded on request only. */
  public abstract prewarmAfterMs(settings: ModelSettings, usage: ModelUsage, loadMs: number): number | undefined;

  /** Probability, 0 to 1, that the model is used within the horizon. The cost of its eviction is multiplied by it. */
  public useProbability(_settings: ModelSettings, usage: ModelUsage, horizonMs: number, nowMs: number): number {
    // Estimate from recency alone: one half after an idle time of one horizon, less afterwards.
    return horizonMs / (horizonMs + Math.max(0, nowMs - usage.lastUsedMs));
  }
}
