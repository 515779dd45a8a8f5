/** The policies and parameter values that are compared. */
import * as decisions from '@jayhaven/decisions';
import type { PartnerSpecification } from './Types.js';

/** Family of a variant; one line of the chart. */
export type VariantFamily = 'never' | 'fixed' | 'leastRecentlyUsed' | 'histogram' | 'histogramWeight';

/** One policy with its parameters. */
export interface Variant {
  readonly name: string;
  readonly family: VariantFamily;
  readonly keepAliveSeconds: number;
  /** Weight of cold starts for the histogram policy; the partner's weight if absent. */
  readonly coldStartWeight?: number;
}

/** The built-in default of the keep-alive setting, with which the others are compared. */
export const defaultKeepAliveSeconds = 300;
const keepAlivesSeconds = [60, 120, 300, 600, 1800];
const boundsSeconds = [120, 300, 600];
const weights = [0, 0.5, 1];

/** Name of the variant that is the reference of all ratios. */
export const referenceName = `fixed ${defaultKeepAliveSeconds} s`;

/** All variants of a comparison. */
export const variants: readonly Variant[] = [
  { name: 'never unload', family: 'never', keepAliveSeconds: defaultKeepAliveSeconds },
  { name: 'least recently used', family: 'leastRecentlyUsed', keepAliveSeconds: defaultKeepAliveSeconds },
  ...keepAlivesSeconds.map((seconds): Variant => ({
    name: `fixed ${seconds} s`,
    family: 'fixed',
    keepAliveSeconds: seconds,
  })),
  ...boundsSeconds.map((seconds): Variant => ({
    name: `histogram ${seconds} s`,
    family: 'histogram',
    keepAliveSeconds: seconds,
  })),
  ...weights.map((weight): Variant => ({
    name: `histogram weight ${weight}`,
    family: 'histogramWeight',
    keepAliveSeconds: 600,
    coldStartWeight: weight,
  })),
];

/** Creates the policy of a variant for a partner. */
export function policyOf(variant: Variant, specification: PartnerSpecification): decisions.KeepAlivePolicy {
  switch (variant.family) {
    case 'never':
      return new decisions.NeverUnloadPolicy();
    case 'fixed':
      return new decisions.FixedKeepAlivePolicy();
    case 'leastRecentlyUsed':
      return new decisions.LeastRecentlyUsedPolicy();
    case 'histogram':
    case 'histogramWeight': {
      const coldStart = variant.coldStartWeight ?? specification.coldStartWeight;
      return new decisions.HistogramPolicy(new Map([[specification.partner, { coldStart }]]));
    }
  }
}
