import type * as common from '@jayhaven/common';
import type { ModelSettings, ModelVersion } from '../Types.js';

/** Weight of the newest load in the exponential moving average. */
const smoothingFactor = 0.5;

/** Observed load times per model and target. A target that loaded a model before may have its checkpoint cached. */
export class LoadTimes {
  private readonly _byModel = new Map<string, number>();
  /** Averages of the first loads on each target, which usually had no cached checkpoint of the model. */
  private readonly _firstLoads = new Map<string, number>();
  private readonly _byTarget = new Map<string, number>();

  /** Records the duration of a finished load. */
  public record(model: ModelVersion, target: common.TargetAddress, durationMs: number): void {
    const key = keyOf(model);
    const targetKey = `${key} ${target}`;
    if (!this._byTarget.has(targetKey)) {
      updateAverage(this._firstLoads, key, durationMs);
    }
    updateAverage(this._byModel, key, durationMs);
    updateAverage(this._byTarget, targetKey, durationMs);
  }

  /**
   * Expected duration of a load: the average of earlier loads on the target; if there are none, of first loads on other
   * targets; otherwise the configured value. Without a target, the average of all loads of the model applies.
   */
  public expectedMs(settings: ModelSettings, target?: common.TargetAddress): number {
    const key = keyOf(settings);
    if (target === undefined) {
      return this._byModel.get(key) ?? settings.expectedLoadMs;
    }
    // Most loads read a cached checkpoint, so the average of all loads is too short for a target without one.
    return this._byTarget.get(`${key} ${target}`) ?? this._firstLoads.get(key) ?? settings.expectedLoadMs;
  }
}

function updateAverage(averages: Map<string, number>, key: string, value: number): void {
  const before = averages.get(key);
  averages.set(key, before === undefined ? value : before + (value - before) * smoothingFactor);
}

function keyOf(model: ModelVersion): string {
  return `${model.partner}/${model.model}@${model.version}`;
}
