/** zod schemas of the requests of operators and of the responses of other daemons. */
import * as z from 'zod';
import type { DaemonStatus, TimelineResponse } from './Types.js';

const maximumKeyLength = 256;
const maximumReasonLength = 2000;
/** Largest number of versions in one `status.read`. */
export const maximumRequestedVersions = 1000;
/** Maximum number of matching events that one daemon returns; the newest are kept. */
export const maximumEventsPerDaemon = 5000;
/** Maximum number of events that one `GET /v1/timeline` requests from all daemons; about 10 MB at 200 bytes each. */
export const maximumEventsPerResponse = 50_000;

const offset = z.number().int().min(0);
const count = z.number();

/** Body of `POST /v1/edits`. */
export const editBody = z.strictObject({
  key: z.string().min(1).max(maximumKeyLength),
  /** JSON value; null removes the key. */
  value: z.json(),
  /** Version that the edit is based on; null if the key is unset. */
  basedOn: offset.nullable(),
  reason: z.string().max(maximumReasonLength).default(''),
});

/** Body of `POST /v1/approvals`. */
export const approvalBody = z.strictObject({ edit: offset });

/** Body of `POST /v1/drain`. */
export const drainBody = z.strictObject({ reason: z.string().max(maximumReasonLength).default('') });

const queryNumber = z
  .string()
  .regex(/^\d{1,15}$/, 'whole number')
  .transform(Number);

/** Time stamp `<milliseconds since 1970>` or `<milliseconds>.<counter>`. */
const queryTime = z
  .string()
  .regex(/^\d{1,15}(\.\d{1,9})?$/, 'milliseconds since 1970, with an optional ".counter"')
  .transform((text) => {
    const [wallMs = '0', counter] = text.split('.');
    return { wallMs: Number(wallMs), counter: counter === undefined ? -1 : Number(counter) };
  });

/** Query of `GET /v1/configuration`. */
export const configurationQuery = z.strictObject({ key: z.string().max(maximumKeyLength).optional() });

/** Query of `GET /v1/history` and `GET /v1/refusals`. */
export const historyQuery = z.strictObject({
  key: z.string().max(maximumKeyLength).optional(),
  rule: z.string().max(maximumKeyLength).optional(),
  limit: queryNumber.refine((limit) => limit > 0, 'at least 1').optional(),
});

/** Query of `GET /v1/timeline`. */
export const timelineQuery = z.strictObject({
  request: z.string().max(maximumKeyLength).optional(),
  model: z.string().max(maximumKeyLength).optional(),
  replica: queryNumber.optional(),
  since: queryTime.optional(),
});

/** Query of operations without query parameters. */
export const noQuery = z.strictObject({});

const hybridTime = z.object({ wallMs: z.number(), counter: z.number() });

/** Parameters of `timeline.read`. */
export const timelineParameters = z.object({
  request: z.string().optional(),
  model: z.string().optional(),
  replica: z.number().optional(),
  since: hybridTime.optional(),
  limit: z.number().int().min(1).max(maximumEventsPerDaemon).default(maximumEventsPerDaemon),
});

/** Parameters of `status.read`. */
export const statusParameters = z.object({ versions: z.array(offset).max(maximumRequestedVersions).default([]) });

/** Response to `timeline.read`. */
export const timelineResponse = z.object({
  daemon: z.string(),
  truncated: z.boolean(),
  events: z.array(
    z.object({
      time: hybridTime,
      daemon: z.string(),
      part: z.string(),
      event: z.string(),
      request: z.string().optional(),
      model: z.string().optional(),
      replica: z.number().optional(),
      offset: z.number().optional(),
      detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
    }),
  ),
}) as unknown as z.ZodType<TimelineResponse>;

const urgency = z.enum(['interactive', 'batch']);

/** Response to `status.read`. */
export const daemonStatus: z.ZodType<DaemonStatus> = z.object({
  daemon: z.string(),
  incarnation: z.string(),
  vm: z.string(),
  failureDomain: z.string(),
  cell: z.string(),
  startedAtMs: z.number(),
  lag: z.object({
    appliedOffset: z.number(),
    highestSeenOffset: z.number(),
    source: z.enum(['log', 'peers', 'none']),
    lagging: z.boolean(),
    logAvailable: z.boolean(),
  }),
  appliedAtMs: z.number(),
  owner: z.object({
    cell: z.string(),
    isOwner: z.boolean(),
    owner: z.string().nullable(),
    claim: z.number().nullable(),
    queuedLoads: z.array(z.object({ model: z.string(), urgency, waitedMs: count })),
    loadsPerSecond: count,
  }),
  front: z.object({
    inFlight: count,
    draining: z.boolean(),
    waiting: z.array(z.object({ partner: z.string(), model: z.string(), count, oldestMs: count })),
  }),
  rejectedRecords: z.record(z.string(), count),
  refusedEdits: z.record(z.string(), count),
  versionTimes: z.record(z.string(), z.number()),
});
