import type * as common from '@jayhaven/common';
import type { ModelSettings, ModelVersion } from '../Types.js';

/** Weight of the newest load in the average. */
const smoothingFactor = 0.5;

/** Observed load times per model and target; a target that loaded a model before may still cache its checkpoint. */
export class LoadTimes {
  private readonly _byModel = new Map<string, number>();
  /** First loads on a target, which had no checkpoint of the model then, as a rule. */
  private readonly _firstLoads = new Map<string, number>();
  private readonly _byTarget = new Map<string, number>();

  /** Takes over the duration of a finished load. */
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
   * Expected duration: of earlier loads on that target; for a target without any, of first loads on other targets;
   * else as configured.
   */
  public expectedMs(settings: ModelSettings, target?: common.TargetAddress): number {
    const key = keyOf(settings);
    if (target === undefined) {
      return this._byModel.get(key) ?? settings.expectedLoadMs;
    }
    // The average of all loads is too short for a target without the checkpoint: most loads come from a cache.
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
