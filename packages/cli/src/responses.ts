/** zod schemas of the responses of the operators' interface. Fields that no table shows are passed through. */
import * as z from 'zod';

const unresponsiveDaemons = z.array(z.looseObject({ daemon: z.string(), reason: z.string() }));

/** Response to `POST /v1/edits`. */
export const editResponse = z.looseObject({
  state: z.enum(['accepted', 'pending']),
  key: z.string(),
  version: z.number(),
});

/** Response to `POST /v1/approvals`. */
export const approvalResponse = z.looseObject({ state: z.enum(['accepted', 'pending']), edit: z.number() });

/** Response to `POST /v1/drain`. */
export const drainResponse = z.looseObject({ state: z.literal('draining'), daemon: z.string() });

const configurationEntry = z.looseObject({
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
  partner: z.string(),
  operator: z.string(),
  when: z.string(),
  reason: z.string(),
});

const daemonEntry = z.looseObject({
  daemon: z.string(),
  answered: z.boolean(),
  appliedOffset: z.number().optional(),
  since: z.string().optional(),
  lagging: z.boolean().optional(),
  source: z.string().optional(),
  inForce: z.boolean().optional(),
  inForceSince: z.string().optional(),
  reason: z.string().optional(),
});

/** Response to `GET /v1/configuration`. */
export const configuration = z.looseObject({
  appliedOffset: z.number(),
  keys: z.array(configurationEntry),
  pending: z.array(configurationEntry.extend({ missing: z.array(z.string()) })),
  daemons: z.array(daemonEntry),
});

const historyEntry = configurationEntry.extend({
  state: z.enum(['accepted', 'pending', 'rejected']),
  rejectedBy: z.string().optional(),
});

/** Response to `GET /v1/history`. */
export const history = z.looseObject({ history: z.array(historyEntry) });

const ruleCounts = z.record(z.string(), z.number());

/** Response to `GET /v1/refusals`. */
export const refusals = z.looseObject({
  byRule: ruleCounts,
  refusals: z.array(historyEntry),
  daemons: z.array(z.looseObject({ daemon: z.string(), rejectedRecords: ruleCounts, refusedEdits: ruleCounts })),
  silent: unresponsiveDaemons,
});

/** Response to `GET /v1/status`. */
export const status = z.looseObject({
  answeredBy: z.string(),
  daemons: z.array(
    z.looseObject({
      daemon: z.string(),
      vm: z.string(),
      failureDomain: z.string(),
      cell: z.string(),
      startedAtMs: z.number(),
      appliedAtMs: z.number(),
      lag: z.looseObject({
        appliedOffset: z.number(),
        highestSeenOffset: z.number(),
        source: z.string(),
        lagging: z.boolean(),
        logAvailable: z.boolean(),
      }),
      owner: z.looseObject({ isOwner: z.boolean() }),
      front: z.looseObject({
        inFlight: z.number(),
        draining: z.boolean(),
        waiting: z.array(z.looseObject({ count: z.number() })),
      }),
    }),
  ),
  silent: unresponsiveDaemons,
});

const bytesPerAccelerator = z.array(z.number());

/** Response to `GET /v1/replicas`. */
export const replicas = z.looseObject({
  targets: z.array(
    z.looseObject({
      target: z.string(),
      vm: z.string(),
      vmState: z.string(),
      role: z.string(),
      service: z.string().optional(),
      fencing: z.string(),
      acceleratorBytes: bytesPerAccelerator,
      freeBytes: bytesPerAccelerator,
      replicas: z.array(
        z.looseObject({
          partner: z.string(),
          model: z.string(),
          version: z.string(),
          replica: z.number(),
          state: z.string(),
          bytes: bytesPerAccelerator,
          adapters: z.array(z.looseObject({ adapter: z.string(), state: z.string() })),
        }),
      ),
      orders: z.array(
        z.looseObject({
          order: z.number(),
          action: z.string(),
          partner: z.string(),
          model: z.string(),
          senders: z.array(z.looseObject({ incarnation: z.string() })),
        }),
      ),
    }),
  ),
});

/** Response to `GET /v1/vms`. */
export const vms = z.looseObject({
  vms: z.array(
    z.looseObject({
      vm: z.string(),
      failureDomain: z.string(),
      state: z.string(),
      targets: z.array(z.looseObject({ address: z.string(), role: z.string(), service: z.string().optional() })),
    }),
  ),
});

/** Response to `GET /v1/queues`. */
export const queues = z.looseObject({
  waiting: z.array(
    z.looseObject({
      daemon: z.string(),
      partner: z.string(),
      model: z.string(),
      count: z.number(),
      oldestMs: z.number(),
    }),
  ),
  loads: z.array(z.looseObject({ daemon: z.string(), model: z.string(), urgency: z.string(), waitedMs: z.number() })),
  silent: unresponsiveDaemons,
});

/** Response to `GET /v1/owners`. */
export const owners = z.looseObject({
  cells: z.array(
    z.looseObject({
      cell: z.string(),
      daemon: z.string().nullable(),
      owner: z.string().nullable(),
      claim: z.number().nullable(),
      renewedAt: z.number(),
      believers: z.array(z.string()),
    }),
  ),
  silent: unresponsiveDaemons,
});

const timelineEvent = z.looseObject({
  time: z.object({ wallMs: z.number(), counter: z.number() }),
  daemon: z.string(),
  part: z.string(),
  event: z.string(),
  request: z.string().optional(),
  model: z.string().optional(),
  replica: z.number().optional(),
  offset: z.number().optional(),
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).optional(),
});

/** An event of the timeline. */
export type TimelineEvent = z.output<typeof timelineEvent>;

/** Response to `GET /v1/timeline`. */
export const timeline = z.looseObject({
  events: z.array(timelineEvent),
  truncated: z.array(z.string()),
  silent: unresponsiveDaemons,
});

/** Daemons that did not respond. */
export type UnresponsiveDaemons = z.output<typeof unresponsiveDaemons>;
