import * as zod from 'zod';

/** Also accepts the value as JSON text, because Triton passes parameters as strings too. */
function withJsonText<Schema extends zod.ZodType>(schema: Schema) {
  return zod.preprocess((value) => {
    if (typeof value !== 'string') {
      return value;
    }
    try {
      return JSON.parse(value) as unknown;
    } catch {
      return value;
    }
  }, schema);
}

const bytesSchema = withJsonText(zod.union([zod.number().min(0), zod.array(zod.number().min(0))]));

/** Parameters of a load or unload order. */
export const parametersSchema = zod.looseObject({
  version: zod.coerce.string().optional(),
  bytes: bytesSchema.optional(),
  /** Accelerators that the order uses; all by default. */
  accelerators: withJsonText(zod.array(zod.number().int().min(0))).optional(),
  fencing_token: withJsonText(zod.number()).optional(),
  drain: withJsonText(zod.boolean()).optional(),
  /** Memory reserved for the prefix cache in addition to the weights, bytes. */
  reservation: bytesSchema.optional(),
});

/** Body of a load or unload order. */
export const repositorySchema = zod.looseObject({ parameters: parametersSchema.optional() });

/** Body of an adapter order. */
export const adapterSchema = zod.looseObject({
  lora_name: zod.string(),
  /** Base model. May be given in `lora_name` instead, as `model:adapter`. */
  model: zod.string().optional(),
  base_model_name: zod.string().optional(),
  bytes: bytesSchema.optional(),
  accelerators: withJsonText(zod.array(zod.number().int().min(0))).optional(),
  fencing_token: withJsonText(zod.number()).optional(),
});

/** Body of `POST /v2/fencing`. */
export const fencingSchema = zod.looseObject({ fencing_token: zod.number() });

/** Body of `POST /control`. */
export const controlSchema = zod.strictObject({
  hangLoads: zod.boolean().optional(),
  failLoads: zod.union([zod.boolean(), zod.number().min(0)]).optional(),
  crossAnswers: zod.union([zod.boolean(), zod.number().min(0)]).optional(),
  truncateStreams: zod.number().int().min(0).nullable().optional(),
  truncateCleanly: zod.boolean().optional(),
  delayOrdersMs: zod.number().min(0).optional(),
  silent: zod.boolean().optional(),
  /** Puts checkpoints (`partner/model@version`) into a tier. */
  checkpoints: zod.record(zod.string(), zod.enum(['memory', 'disk', 'remote'])).optional(),
});
