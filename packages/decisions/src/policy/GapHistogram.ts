import type { GapStatistics } from './Types.js';

/** Upper bound of the first bin, milliseconds. */
const firstUpperBoundMs = 250;
/**
 * Ratio of the upper bounds of adjacent bins, which limits the error of a percentile. With 1.25, a model that is
 * requested every 30 minutes was prewarmed up to 7 minutes late.
 */
export const gapBinGrowthFactor = 1.08;
/** The upper bound of the last bin is about 16 h; longer gaps are counted in it. */
const binCount = 162;
const upperBoundsMs = Float64Array.from(
  { length: binCount },
  (_, bin) => firstUpperBoundMs * gapBinGrowthFactor ** bin,
);
/** Usage is reported each second; a shorter keep-alive time would unload a model between two requests of a burst. */
const minimumKeepAliveMs = 10_000;
/** All counts are halved at this total, so that old gaps lose weight. */
const maximumSamples = 512;

/** Histogram of the times between requests, with logarithmic bins. */
export class GapHistogram implements GapStatistics {
  private readonly _bins = new Float64Array(binCount);
  private _samples = 0;

  public get samples(): number {
    return this._samples;
  }

  /** Adds one gap. */
  public add(gapMs: number): void {
    const bin = binOf(gapMs);
    this._bins[bin] = (this._bins[bin] ?? 0) + 1;
    this._samples += 1;
    if (this._samples >= maximumSamples) {
      this._bins.forEach((count, index) => {
        this._bins[index] = count / 2;
      });
      this._samples /= 2;
    }
  }

  public percentileMs(share: number): number {
    let remaining = this._samples * share;
    for (let bin = 0; bin < binCount; bin += 1) {
      remaining -= this._bins[bin] ?? 0;
      if (remaining <= 1e-9) {
        return upperBoundMs(bin);
      }
    }
    return upperBoundMs(binCount - 1);
  }

  public shareAbove(gapMs: number): number {
    if (this._samples === 0) {
      return 1;
    }
    let above = 0;
    for (let bin = binOf(gapMs); bin < binCount; bin += 1) {
      above += this._bins[bin] ?? 0;
    }
    return above / this._samples;
  }

  public cheapestKeepAliveMs(coldStartCostMs: number, maximumMs: number): number {
    let cheapestMs = Math.min(maximumMs, minimumKeepAliveMs);
    let cheapest = Infinity;
    let coveredGaps = 0;
    let coveredIdleMs = 0;
    for (let bin = 0; bin < binCount; bin += 1) {
      const count = this._bins[bin] ?? 0;
      const keepAliveMs = Math.min(maximumMs, upperBoundMs(bin));
      if (upperBoundMs(bin) <= maximumMs) {
        coveredGaps += count;
        coveredIdleMs += count * upperBoundMs(bin);
      }
      const cost = coveredIdleMs + (this._samples - coveredGaps) * (keepAliveMs + coldStartCostMs);
      if (keepAliveMs >= minimumKeepAliveMs && cost < cheapest) {
        cheapest = cost;
        cheapestMs = keepAliveMs;
      }
      if (keepAliveMs === maximumMs) {
        break;
      }
    }
    return cheapestMs;
  }
}

function binOf(gapMs: number): number {
  const bin =
    gapMs <= firstUpperBoundMs ? 0 : Math.ceil(Math.log(gapMs / firstUpperBoundMs) / Math.log(gapBinGrowthFactor));
  return Math.min(bin, binCount - 1);
}

function upperBoundMs(bin: number): number {
  return upperBoundsMs[bin] ?? Infinity;
}
