/** Effective settings: built-in defaults, then the partner's defaults, then the model's exceptions. */
import type * as common from '@jayhaven/common';
import type { z } from 'zod';
import type * as types from '../Types.js';
import { parseConfigurationKey } from './keys.js';
import { SettingsCollector } from './SettingsCollector.js';
import type { modelSchema, SettingValues } from './values.js';

/** Values that apply if a partner has set no default. */
export const builtInDefaults: SettingValues = {
  keepAliveSeconds: 300,
  minimumReplicas: 0,
  maximumReplicas: 1,
  requestsPerReplica: 16,
  urgency: 'interactive',
  deadlineMilliseconds: 30_000,
  queueLimit: 200,
  coldStartWeight: 0.5,
};

interface SettingsIndex {
  readonly models: ReadonlyMap<string, types.ModelSettings>;
  readonly services: ReadonlyMap<string, types.ServiceSettings>;
}

// The configuration map is immutable, so its index stays valid until an edit creates a new map.
const indexes = new WeakMap<types.ControlState['configuration'], SettingsIndex>();

/** Settings of a model; undefined if the model is not configured. */
export function modelSettings(
  state: types.ControlState,
  partner: common.PartnerName,
  model: string,
): types.ModelSettings | undefined {
  return indexOf(state).models.get(`${partner}/${model}`);
}

/** Settings of every configured model. */
export function allModels(state: types.ControlState): readonly types.ModelSettings[] {
  return [...indexOf(state).models.values()];
}

/** Settings of a plain service; undefined if it is not configured. */
export function serviceSettings(
  state: types.ControlState,
  partner: common.PartnerName,
  service: string,
): types.ServiceSettings | undefined {
  return indexOf(state).services.get(`${partner}/${service}`);
}

/** Settings of every configured plain service. */
export function allServices(state: types.ControlState): readonly types.ServiceSettings[] {
  return [...indexOf(state).services.values()];
}

/** Share of the accelerator memory that is guaranteed to a partner; 0 if none is in force. */
export function shareOf(state: types.ControlState, partner: common.PartnerName): number {
  return (state.configuration.get(`shared/share/${partner}`)?.value as number | undefined) ?? 0;
}

function indexOf(state: types.ControlState): SettingsIndex {
  let index = indexes.get(state.configuration);
  if (index === undefined) {
    index = buildIndex(state.configuration);
    indexes.set(state.configuration, index);
  }
  return index;
}

function buildIndex(configuration: types.ControlState['configuration']): SettingsIndex {
  const collector = new SettingsCollector();
  for (const entry of configuration.values()) {
    const key = parseConfigurationKey(entry.key);
    if (key !== undefined) {
      collector.add(key, entry.value);
    }
  }
  const models = new Map<string, types.ModelSettings>();
  for (const [name, { partner, model, value }] of collector.models) {
    const settings = { ...builtInDefaults, ...collector.defaults.get(partner), ...collector.exceptions.get(name) };
    models.set(name, toModelSettings({ partner, model }, value, settings, collector.adapters.get(name) ?? new Map()));
  }
  return { models, services: collector.services };
}

function toModelSettings(
  names: { readonly partner: common.PartnerName; readonly model: string },
  value: unknown,
  settings: SettingValues,
  adapters: ReadonlyMap<string, types.AdapterSettings>,
): types.ModelSettings {
  const { version, weightBytes, cacheBytes, expectedLoadMilliseconds } = value as z.infer<typeof modelSchema>;
  return {
    ...names,
    version,
    weightBytes,
    cacheBytes,
    adapters,
    // The two fields can be edited independently. The maximum is a guarantee, so it takes precedence.
    minimumReplicas: Math.min(settings.minimumReplicas, settings.maximumReplicas),
    maximumReplicas: settings.maximumReplicas,
    keepAliveMs: settings.keepAliveSeconds * 1000,
    requestsPerReplica: settings.requestsPerReplica,
    urgency: settings.urgency,
    deadlineMs: settings.deadlineMilliseconds,
    queueLimit: settings.queueLimit,
    coldStartWeight: settings.coldStartWeight,
    expectedLoadMs: expectedLoadMilliseconds,
  };
}
