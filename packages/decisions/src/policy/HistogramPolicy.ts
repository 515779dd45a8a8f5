import type { ModelSettings } from '../Types.js';
import { gapBinGrowthFactor } from './GapHistogram.js';
import { KeepAlivePolicy } from './KeepAlivePolicy.js';
import type { ModelUsage, PartnerWeights } from './Types.js';

/** With fewer gaps than this, the configured keep-alive time applies, because the histogram is not meaningful. */
const minimumSamples = 8;
/** Idle time that equals one unit of avoided load time for a partner that weighs cold starts and idle time equally. */
const idlePerLoadTime = 20;
/** Weights are clamped to this distance from 0 and 1, so that neither cold starts nor idle time are ignored. */
const minimumWeight = 0.02;
/** Share of gaps that a prewarmed model is expected to cover. */
const expectedArrivalShare = 0.95;
/** Share of gaps that may end before the prewarming time, from the hybrid histogram policy (Shahrad et al. 2020). */
const earlyArrivalShare = 0.05;
/** A model is prewarmed in advance by this multiple of its load time. */
const prewarmLeadFactor = 1.5;

/**
 * Keeps an idle model loaded for the time that would have cost least over its past gaps. The configured keep-alive time
 * is the maximum, so an operator's edit always has an effect. A cold start costs its load time, an idle replica its
 * idle time; the weight of the partner sets the ratio between the two.
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
    // A percentile is the upper bound of its bin; the early gaps may lie at the lower bound.
    const startMs = earliestMs / gapBinGrowthFactor - leadMs;
    // Prewarming pays off only for regular models, where most gaps end soon after the earliest and idle time is short.
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
