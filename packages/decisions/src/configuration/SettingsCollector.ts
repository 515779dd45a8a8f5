import type * as common from '@jayhaven/common';
import type { z } from 'zod';
import type * as types from '../Types.js';
import type { ConfigurationKey } from './keys.js';
import type { adapterSchema, serviceSchema, SettingValues } from './values.js';

type PartialSettings = Partial<SettingValues>;

/** Collects the values of a configuration, grouped by the type of their keys. */
export class SettingsCollector {
  public readonly defaults = new Map<string, PartialSettings>();
  public readonly exceptions = new Map<string, PartialSettings>();
  public readonly adapters = new Map<string, Map<string, types.AdapterSettings>>();
  public readonly models = new Map<
    string,
    { readonly partner: string; readonly model: string; readonly value: unknown }
  >();
  public readonly services = new Map<string, types.ServiceSettings>();

  /** Adds one valid value. */
  public add(key: ConfigurationKey, value: unknown): void {
    switch (key.kind) {
      case 'default':
        this.defaults.set(key.partner, { ...this.defaults.get(key.partner), [key.field]: value });
        break;
      case 'exception': {
        const name = `${key.partner}/${key.model}`;
        this.exceptions.set(name, { ...this.exceptions.get(name), [key.field]: value });
        break;
      }
      case 'adapter': {
        const name = `${key.partner}/${key.model}`;
        const { bytes } = value as z.infer<typeof adapterSchema>;
        const adapters = this.adapters.get(name) ?? new Map<string, types.AdapterSettings>();
        this.adapters.set(name, adapters.set(key.adapter, { adapter: key.adapter, bytes }));
        break;
      }
      case 'model':
        this.models.set(`${key.partner}/${key.model}`, { partner: key.partner, model: key.model, value });
        break;
      case 'service':
        this.services.set(`${key.partner}/${key.service}`, toServiceSettings(key.partner, key.service, value));
        break;
      case 'share':
        break;
    }
  }
}

function toServiceSettings(partner: common.PartnerName, service: string, value: unknown): types.ServiceSettings {
  const { idempotentRoutes, deadlineMilliseconds } = value as z.infer<typeof serviceSchema>;
  return { partner, service, idempotentRoutes, deadlineMs: deadlineMilliseconds };
}
