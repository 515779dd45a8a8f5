import type { ModelSettings } from '../Types.js';
import { gapBinGrowth } from './GapHistogram.js';
import { KeepAlivePolicy } from './KeepAlivePolicy.js';
import type { ModelUsage, PartnerWeights } from './Types.js';

/** Fewer gaps than this say too little; the configured keep-alive applies. */
const minimumSamples = 8;
/** Share of gaps to cover for a partner that counts only idle accelerator hours. */
const lowestCoveredShare = 0.75;
/** Share of gaps to cover for a partner that counts only cold starts. */
const highestCoveredShare = 0.99;
/** Share of gaps shorter than the prewarming time, from the hybrid histogram policy (Shahrad et al. 2020). */
const earlyArrivalShare = 0.05;
/** Loads in advance by this multiple of the load time. */
const prewarmLead = 1.5;

/**
 * Keeps an idle model as long as a share of its past gaps lasted, at most the configured keep-alive. The operator's
 * setting is the bound, so an edit always shows; the weight of the partner sets the share.
 */
export class HistogramPolicy extends KeepAlivePolicy {
  public override readonly name = 'histogram';

  public constructor(private readonly _weights: PartnerWeights = new Map()) {
    super();
  }

  public override keepAliveMs(settings: ModelSettings, usage: ModelUsage): number {
    if (usage.gaps.samples < minimumSamples) {
      return settings.keepAliveMs;
    }
    return Math.min(settings.keepAliveMs, usage.gaps.percentileMs(this._coveredShare(settings)));
  }

  public override prewarmAfterMs(settings: ModelSettings, usage: ModelUsage, loadMs: number): number | undefined {
    if (usage.gaps.samples < minimumSamples) {
      return undefined;
    }
    // A percentile is the upper bound of its bin; the early gaps may lie at the lower one.
    const earliestMs = usage.gaps.percentileMs(earlyArrivalShare) / gapBinGrowth;
    const startMs = earliestMs - prewarmLead * loadMs;
    // Only regular models gain: when the covered gaps end soon after the earliest one, little idle time is spent.
    const latestMs = usage.gaps.percentileMs(this._coveredShare(settings));
    const worthwhile = startMs > this.keepAliveMs(settings, usage) && latestMs - startMs <= settings.keepAliveMs;
    return worthwhile ? startMs : undefined;
  }

  public override chanceOfUse(settings: ModelSettings, usage: ModelUsage, horizonMs: number, nowMs: number): number {
    if (usage.gaps.samples < minimumSamples) {
      return super.chanceOfUse(settings, usage, horizonMs, nowMs);
    }
    const idleMs = Math.max(0, nowMs - usage.lastUsedMs);
    const stillIdle = usage.gaps.shareAbove(idleMs);
    if (stillIdle === 0) {
      return 0;
    }
    return 1 - usage.gaps.shareAbove(idleMs + horizonMs) / stillIdle;
  }

  private _coveredShare(settings: ModelSettings): number {
    const weight = this._weights.get(settings.partner)?.coldStart ?? 0.5;
    return lowestCoveredShare + (highestCoveredShare - lowestCoveredShare) * weight;
  }
}
