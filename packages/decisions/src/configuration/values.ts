/** Schemas of configuration values. */
import { z } from 'zod';
import type { ConfigurationKey, SettingField } from './keys.js';

/** Maximum length of a configuration value, in characters of JSON. */
export const maximumValueLength = 16_384;

const milliseconds = z
  .int()
  .min(1)
  .max(24 * 3600 * 1000);
const byteCount = z.int().min(0);
const name = z
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'must be a name of letters, digits, dots, dashes and underscores');

/** Schema of each field that has a default. */
export const settingSchemas = {
  keepAliveSeconds: z
    .number()
    .min(0)
    .max(7 * 24 * 3600),
  minimumReplicas: z.int().min(0).max(1000),
  maximumReplicas: z.int().min(0).max(1000),
  requestsPerReplica: z.int().min(1).max(100_000),
  urgency: z.enum(['interactive', 'batch']),
  deadlineMilliseconds: milliseconds,
  queueLimit: z.int().min(0).max(100_000),
  coldStartWeight: z.number().min(0).max(1),
} satisfies Record<SettingField, z.ZodType>;

export const modelSchema = z.strictObject({
  version: name,
  weightBytes: z.array(byteCount).min(1).max(64),
  cacheBytes: byteCount,
  expectedLoadMilliseconds: milliseconds,
});

export const adapterSchema = z.strictObject({ bytes: byteCount });

export const serviceSchema = z.strictObject({
  idempotentRoutes: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, 'must be "METHOD /prefix"')).max(256),
  deadlineMilliseconds: milliseconds,
});

export const shareSchema = z.number().min(0).max(1);

/** Validates a value for a key; undefined if it is valid. Null removes the key and is always valid. */
export function findValueError(key: ConfigurationKey, value: unknown): string | undefined {
  if (value === null) {
    return undefined;
  }
  if (isTooLong(value)) {
    return `value is longer than ${maximumValueLength} characters`;
  }
  const parsed = schemaOf(key).safeParse(value);
  const issue = parsed.error?.issues[0];
  return issue === undefined ? undefined : [...issue.path, issue.message].join(': ');
}

/** Whether a value is too long to be stored in the configuration or its history. */
export function isTooLong(value: unknown): boolean {
  if (value === undefined) {
    return false;
  }
  try {
    return JSON.stringify(value).length > maximumValueLength;
  } catch (error) {
    if (error instanceof RangeError) {
      // The value is nested too deeply for the call stack.
      return true;
    }
    throw error;
  }
}

function schemaOf(key: ConfigurationKey): z.ZodType {
  switch (key.kind) {
    case 'default':
    case 'exception':
      return settingSchemas[key.field];
    case 'model':
      return modelSchema;
    case 'adapter':
      return adapterSchema;
    case 'service':
      return serviceSchema;
    case 'share':
      return shareSchema;
  }
}

/** Values of the fields that have a default. */
export type SettingValues = { readonly [Field in SettingField]: z.infer<(typeof settingSchemas)[Field]> };
