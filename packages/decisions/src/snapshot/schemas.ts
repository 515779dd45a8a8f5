/** Schemas of snapshots. */
import { z } from 'zod';
import {
  addressSchema,
  hybridTimeSchema,
  limitsSchema,
  modelVersionFields,
  targetSchema,
  urgencySchema,
} from '../records/schemas.js';

/** Version of the snapshot format; a daemon rejects snapshots of other versions. */
export const snapshotFormat = 1;

const text = z.string();
const offset = z.int().min(0);
const appliedOffset = z.int().min(-1);
const bytes = z.array(z.int().min(0));
const replicaState = z.enum(['loading', 'ready', 'unloading']);
const sequences = z.array(z.tuple([text, z.int()]));

const daemon = z.object({
  incarnation: text,
  daemon: text,
  vm: text,
  failureDomain: text,
  peers: addressSchema,
  operators: addressSchema,
  state: z.enum(['joined', 'replaced']),
  joinedAt: offset,
});

const cell = z.object({
  cell: text,
  claim: offset.nullable(),
  owner: text.nullable(),
  latestClaim: offset.nullable(),
  renewedAt: offset,
});

const vm = z.object({
  vm: text,
  failureDomain: text,
  state: z.enum(['live', 'leaving']),
  targets: z.array(targetSchema),
  observedAt: offset.exactOptional(),
});

const adapter = z.object({
  adapter: text,
  order: offset,
  bytes,
  state: replicaState,
  lastSettledAt: offset.exactOptional(),
});

const replica = z.object({
  ...modelVersionFields,
  replica: offset,
  target: text,
  vm: text,
  bytes,
  state: replicaState,
  urgency: urgencySchema,
  adapters: z.array(adapter),
  lastSettledAt: offset.exactOptional(),
});

const order = z.object({
  ...modelVersionFields,
  order: offset,
  action: z.enum(['load', 'unload', 'adapterLoad', 'adapterUnload']),
  replica: offset,
  adapter: text.exactOptional(),
  target: text,
  bytes,
  senders: sequences,
  urgency: urgencySchema.exactOptional(),
  mayHaveRunLate: z.boolean().exactOptional(),
  targetGone: z.boolean().exactOptional(),
});

const configurationEntry = z.object({
  key: text,
  value: z.unknown(),
  partner: text,
  operator: text,
  reason: text,
  version: offset,
  clock: hybridTimeSchema,
});

const historyEntry = z.object({
  offset,
  key: text,
  partner: text,
  operator: text,
  value: z.unknown(),
  reason: text,
  clock: hybridTimeSchema,
  rejectedBy: text.exactOptional(),
  pending: z.boolean().exactOptional(),
});

export const controlSnapshotSchema = z.object({
  format: z.literal(snapshotFormat),
  limits: limitsSchema,
  limitsSetAt: offset.exactOptional(),
  appliedOffset,
  lastSequences: sequences,
  daemons: z.array(daemon),
  cells: z.array(cell),
  vms: z.array(vm),
  replicas: z.array(replica),
  orders: z.array(order),
  fences: sequences,
  configuration: z.array(configurationEntry),
  pendingEdits: z.array(configurationEntry.extend({ basedOn: offset.nullable(), approvedBy: z.array(text) })),
  history: z.array(historyEntry),
});

export const claimsSnapshotSchema = z.object({
  format: z.literal(snapshotFormat),
  appliedOffset,
  lastSequences: sequences,
  claims: z.array(
    z.object({
      key: text,
      fingerprint: text,
      attempt: text,
      sender: text,
      state: z.enum(['running', 'completed', 'abandoned']),
      status: z.int().exactOptional(),
      answer: z.object({ contentType: text, base64: text }).exactOptional(),
      claimedAtMs: z.number(),
    }),
  ),
  windowMs: z.number().exactOptional(),
});
