import type { ModelSettings } from '../Types.js';
import { gapBinGrowthFactor } from './GapHistogram.js';
import { KeepAlivePolicy } from './KeepAlivePolicy.js';
import type { ModelUsage, PartnerWeights } from './Types.js';

/** Fewer gaps than this say too little; the configured keep-alive applies. */
const minimumSamples = 8;
/** Idle time that a partner which weighs both alike accepts for each unit of load time that it avoids. */
const idlePerLoadTime = 20;
/** Keeps the weights off their ends, where one measure would not count at all. */
const minimumWeight = 0.02;
/** Share of gaps that a prewarmed model has to be kept for. */
const expectedArrivalShare = 0.95;
/** Share of gaps shorter than the prewarming time, from the hybrid histogram policy (Shahrad et al. 2020). */
const earlyArrivalShare = 0.05;
/** Loads in advance by this multiple of the load time. */
const prewarmLeadFactor = 1.5;

/**
 * Keeps an idle model for the time that would have cost least over its past gaps, at most the configured keep-alive.
 * The operator's setting is the bound, so an edit always shows. A cold start costs its load time, an idle replica its
 * idle time; the weight of the partner sets the rate between the two.
 */
export class HistogramPolicy extends KeepAlivePolicy {
  public override readonly name = 'histogram';

  public constructor(private readonly _weights: PartnerWeights = new Map()) {
    super();
  }

  public override keepAliveMs(
    settings: ModelSettings,
    usage: ModelUsage,
    loadMs: number = settings.expectedLoadMs,
  ): number {
    if (usage.gaps.samples < minimumSamples) {
      return settings.keepAliveMs;
    }
    return usage.gaps.cheapestKeepAliveMs(loadMs * this._idlePerLoad(settings), settings.keepAliveMs);
  }

  public override prewarmAfterMs(settings: ModelSettings, usage: ModelUsage, loadMs: number): number | undefined {
    if (usage.gaps.samples < minimumSamples) {
      return undefined;
    }
    const earliestMs = usage.gaps.percentileMs(earlyArrivalShare);
    const leadMs = prewarmLeadFactor * loadMs;
    // A percentile is the upper bound of its bin; the early gaps may lie at the lower one.
    const startMs = earliestMs / gapBinGrowthFactor - leadMs;
    // Only regular models gain: when the covered gaps end soon after the earliest one, little idle time is spent.
    const maximumIdleMs = usage.gaps.percentileMs(expectedArrivalShare) - earliestMs + leadMs;
    const worthwhile = maximumIdleMs <= settings.keepAliveMs && startMs > this.keepAliveMs(settings, usage, loadMs);
    return worthwhile ? startMs : undefined;
  }

  public override useProbability(settings: ModelSettings, usage: ModelUsage, horizonMs: number, nowMs: number): number {
    if (usage.gaps.samples < minimumSamples) {
      return super.useProbability(settings, usage, horizonMs, nowMs);
    }
    const idleMs = Math.max(0, nowMs - usage.lastUsedMs);
    const longerShare = usage.gaps.shareAbove(idleMs);
    if (longerShare === 0) {
      return 0;
    }
    return 1 - usage.gaps.shareAbove(idleMs + horizonMs) / longerShare;
  }

  private _idlePerLoad(settings: ModelSettings): number {
    const weight = this._weights.get(settings.partner)?.coldStart ?? settings.coldStartWeight;
    const clampedWeight = Math.min(1 - minimumWeight, Math.max(minimumWeight, weight));
    return (idlePerLoadTime * clampedWeight) / (1 - clampedWeight);
  }
}
