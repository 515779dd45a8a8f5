/**
 * Keys of the configuration:
 *
 * - `p/defaults/<field>`, `p/models/<model>`, `p/adapters/<model>/<adapter>`, `p/exceptions/<model>/<field>` and
 *   `p/services/<service>` belong to partner `p`;
 * - `shared/share/<p>` applies to all partners.
 */
import type * as common from '@jayhaven/common';

/** Parsed configuration key. */
export type ConfigurationKey =
  | { readonly kind: 'default'; readonly partner: common.PartnerName; readonly field: SettingField }
  | { readonly kind: 'model'; readonly partner: common.PartnerName; readonly model: string }
  | { readonly kind: 'adapter'; readonly partner: common.PartnerName; readonly model: string; readonly adapter: string }
  | {
      readonly kind: 'exception';
      readonly partner: common.PartnerName;
      readonly model: string;
      readonly field: SettingField;
    }
  | { readonly kind: 'service'; readonly partner: common.PartnerName; readonly service: string }
  | { readonly kind: 'share'; readonly partner: common.PartnerName };

/** Fields that have a default and can be overridden per model by an exception. */
export const settingFields = [
  'keepAliveSeconds',
  'minimumReplicas',
  'maximumReplicas',
  'requestsPerReplica',
  'urgency',
  'deadlineMilliseconds',
  'queueLimit',
  'coldStartWeight',
] as const;

export type SettingField = (typeof settingFields)[number];

/** First segment of the keys that apply to all partners. */
const sharedPrefix = 'shared';
// Callers write `partner/model` and `model:adapter`, so names contain neither slash nor colon.
const segmentPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;

/** Parses a key; undefined if it is not a valid configuration key. */
export function parseConfigurationKey(key: string): ConfigurationKey | undefined {
  const segments = key.split('/');
  if (!segments.every((segment) => segmentPattern.test(segment))) {
    return undefined;
  }
  const [partner = '', kind, first, second] = segments;
  if (partner === sharedPrefix) {
    return kind === 'share' && first !== undefined && segments.length === 3 ? { kind, partner: first } : undefined;
  }
  if (first === undefined) {
    return undefined;
  }
  if (segments.length === 3) {
    return parseThreeSegmentKey(partner, kind, first);
  }
  return segments.length === 4 && second !== undefined ? parseFourSegmentKey(partner, kind, first, second) : undefined;
}

function parseThreeSegmentKey(partner: string, kind: string | undefined, name: string): ConfigurationKey | undefined {
  switch (kind) {
    case 'defaults':
      return isSettingField(name) ? { kind: 'default', partner, field: name } : undefined;
    case 'models':
      return { kind: 'model', partner, model: name };
    case 'services':
      return { kind: 'service', partner, service: name };
    default:
      return undefined;
  }
}

function parseFourSegmentKey(
  partner: string,
  kind: string | undefined,
  model: string,
  name: string,
): ConfigurationKey | undefined {
  switch (kind) {
    case 'adapters':
      return { kind: 'adapter', partner, model, adapter: name };
    case 'exceptions':
      return isSettingField(name) ? { kind: 'exception', partner, model, field: name } : undefined;
    default:
      return undefined;
  }
}

function isSettingField(name: string): name is SettingField {
  return (settingFields as readonly string[]).includes(name);
}
