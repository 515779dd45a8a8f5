/** Messages between daemons about the load of targets, checked on arrival. */
import * as zod from 'zod';

/** What an engine answers to `GET /v2/load`. */
export const loadReportSchema = zod.object({
  sequence: zod.number(),
  running: zod.number(),
  waiting: zod.number(),
  slots: zod.number(),
});

export type LoadReport = zod.infer<typeof loadReportSchema>;

/** Index of a target as far as the collector compares it. */
export const indexSchema = zod.array(
  zod.object({ name: zod.string(), version: zod.string().default(''), state: zod.string() }),
);

/** Parameters of `load.subscribe`. */
export const subscribeSchema = zod.object({ targets: zod.array(zod.string()).max(10_000) });

/** A digest on the way to a subscriber. */
export const digestSchema = zod.object({
  target: zod.string(),
  sequence: zod.number(),
  running: zod.number(),
  waiting: zod.number(),
  slots: zod.number(),
  reachable: zod.boolean(),
  /** The engine started anew, so its sequence did too. */
  restarted: zod.boolean(),
});

/** Parameters of `load.digest` and result of `load.subscribe`. */
export const digestsSchema = zod.object({ digests: zod.array(digestSchema).max(10_000) });

export type DigestMessage = zod.infer<typeof digestSchema>;
