/** Schemas that validate the messages between daemons about ownership. */
import * as zod from 'zod';

const modelVersion = { partner: zod.string().min(1), model: zod.string().min(1), version: zod.string() };

/** Parameters of `owner.wake`. */
export const wakeRequestSchema = zod.object({
  ...modelVersion,
  adapter: zod.string().optional(),
  urgency: zod.enum(['interactive', 'batch']),
  remainingMs: zod.number().min(0),
  waiting: zod.number().min(0),
});

/** Result of `owner.wake`. */
export const wakeResultSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('expected'), readyInMs: zod.number() }),
  zod.object({
    kind: zod.literal('refused'),
    type: zod.string(),
    message: zod.string(),
    retryAfterMs: zod.number(),
  }),
  /** The receiver does not own the cell, or its lease has expired. */
  zod.object({ kind: zod.literal('notOwner') }),
]);

export type WakeResult = zod.infer<typeof wakeResultSchema>;

/** Result of `owner.ping`. */
export const pingResultSchema = zod.object({ working: zod.boolean() });

/** Parameters of `owner.usage`. */
export const usageReportSchema = zod.object({
  entries: zod
    .array(
      zod.object({
        ...modelVersion,
        adapter: zod.string().optional(),
        arrivals: zod.number().min(0),
        inFlight: zod.number().min(0),
      }),
    )
    .max(10_000),
});

/** Parameters of `owner.verify`: a collector found that state and engine differ. */
export const verifySchema = zod.object({ target: zod.string() });
