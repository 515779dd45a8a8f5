import type * as common from '@jayhaven/common';
import type { ModelSettings, ModelVersion } from '../Types.js';

/** Weight of the newest load in the average. */
const newestWeight = 0.5;

/** Observed load times per model and target; a target that loaded a model before may still cache its checkpoint. */
export class LoadTimes {
  private readonly _byModel = new Map<string, number>();
  private readonly _byTarget = new Map<string, number>();

  /** Takes over the duration of a finished load. */
  public record(model: ModelVersion, target: common.TargetAddress, durationMs: number): void {
    blend(this._byModel, keyOf(model), durationMs);
    blend(this._byTarget, `${keyOf(model)} ${target}`, durationMs);
  }

  /** Expected duration: of earlier loads on that target, else on any target, else as configured. */
  public expectedMs(settings: ModelSettings, target?: common.TargetAddress): number {
    const onTarget = target === undefined ? undefined : this._byTarget.get(`${keyOf(settings)} ${target}`);
    return onTarget ?? this._byModel.get(keyOf(settings)) ?? settings.expectedLoadMs;
  }
}

function blend(averages: Map<string, number>, key: string, value: number): void {
  const before = averages.get(key);
  averages.set(key, before === undefined ? value : before + (value - before) * newestWeight);
}

function keyOf(model: ModelVersion): string {
  return `${model.partner}/${model.model}@${model.version}`;
}
