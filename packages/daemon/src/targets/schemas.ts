/** Schemas that validate load reports, engine indexes and the messages between daemons about the load of targets. */
import * as zod from 'zod';

/** Answer of a target to `GET /v2/load`. */
export const loadReportSchema = zod.object({
  sequence: zod.number(),
  running: zod.number(),
  waiting: zod.number(),
  slots: zod.number(),
});

export type LoadReport = zod.infer<typeof loadReportSchema>;

/** Fields of an engine's index that the collector compares. */
export const indexSchema = zod.array(
  zod.object({ name: zod.string(), version: zod.string().default(''), state: zod.string() }),
);

/** Parameters of `load.subscribe`. */
export const subscribeSchema = zod.object({ targets: zod.array(zod.string()).max(10_000) });

/** A digest in a message to a subscriber. */
export const digestSchema = zod.object({
  target: zod.string(),
  sequence: zod.number(),
  running: zod.number(),
  waiting: zod.number(),
  slots: zod.number(),
  reachable: zod.boolean(),
  /** Whether the engine has restarted, so that its sequence has started over. */
  restarted: zod.boolean(),
});

/** Parameters of `load.digest` and result of `load.subscribe`. */
export const digestsSchema = zod.object({ digests: zod.array(digestSchema).max(10_000) });

export type DigestMessage = zod.infer<typeof digestSchema>;
