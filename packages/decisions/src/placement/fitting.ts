/** Assigns the memory of a model to the accelerators of a target. */
import type { AcceleratorBytes, ModelSettings } from '../Types.js';

/** Memory that a model needs on each accelerator that it uses. */
export function neededBytes(settings: ModelSettings): AcceleratorBytes {
  return settings.weightBytes.map((bytes) => bytes + settings.cacheBytes);
}

/**
 * Chooses accelerators by best fit, largest need first. Returns the bytes per accelerator of the target, or
 * undefined if the model does not fit.
 */
export function fitBytes(settings: ModelSettings, freeBytes: AcceleratorBytes): AcceleratorBytes | undefined {
  const allocated = freeBytes.map(() => 0);
  const used = new Set<number>();
  for (const need of [...neededBytes(settings)].sort((first, second) => second - first)) {
    const choice = tightestFit(need, freeBytes, used);
    if (choice === undefined) {
      return undefined;
    }
    used.add(choice);
    allocated[choice] = need;
  }
  return allocated;
}

function tightestFit(need: number, freeBytes: AcceleratorBytes, used: ReadonlySet<number>): number | undefined {
  let best: number | undefined;
  freeBytes.forEach((free, index) => {
    if (!used.has(index) && free >= need && (best === undefined || free < (freeBytes[best] ?? Infinity))) {
      best = index;
    }
  });
  return best;
}

/** Adds memory per accelerator. */
export function addBytes(first: AcceleratorBytes, second: AcceleratorBytes): AcceleratorBytes {
  return first.map((bytes, index) => bytes + (second[index] ?? 0));
}

/** Sum over the accelerators. */
export function sumBytes(bytes: AcceleratorBytes): number {
  return bytes.reduce((sum, acceleratorBytes) => sum + acceleratorBytes, 0);
}
