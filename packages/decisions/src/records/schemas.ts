/** Schemas of the records of the topic `control`. */
import { z } from 'zod';
import type * as types from '../Types.js';
import { isBoundedJson } from './isBoundedJson.js';

/** Maximum length of a name or identifier in a record, characters. */
const maximumNameLength = 256;
/** Maximum length of a free text in a record, characters. */
const maximumTextLength = 4096;

const name = z.string().min(1).max(maximumNameLength);
const text = z.string().max(maximumTextLength);
// The text may contain a message of an engine of any length, which must not make the report invalid.
const truncatedText = z.string().transform((value) => value.slice(0, maximumTextLength));
/** Offset of a record. */
export const offsetSchema = z.int().min(0);
const byteCounts = z.array(z.int().min(0)).max(64);

/** Limits that replay enforces. */
export const limitsSchema = z.object({
  maximumConcurrentLoads: z.int().min(0),
  maximumAdaptersInTransit: z.int().min(0),
  partners: z.array(name).max(256),
});
export const addressSchema = z.object({ host: name, port: z.int().min(0).max(65_535) });
export const recordIdSchema = z.object({ incarnation: name, sequence: z.int().min(0) });
export const hybridTimeSchema = z.object({ wallMs: z.number(), counter: z.number() });
export const urgencySchema = z.enum(['interactive', 'batch']);
export const targetSchema = z.object({
  address: name,
  role: z.enum(['engine', 'service']),
  service: name.exactOptional(),
  acceleratorBytes: byteCounts,
  fencing: z.enum(['checked', 'ignored']),
});
/** Fields that identify one set of weights. */
export const modelVersionFields = { partner: name, model: name, version: name };
// JSON has no infinite numbers; a figure such as an unlimited keep-alive is encoded as null.
const figure = z.union([z.number(), z.string(), z.null().transform(() => 'none')]);
const reason = z.object({ rule: name, figures: z.record(z.string(), figure) });
const readAfterField = { readAfter: offsetSchema.exactOptional() };
const claimFields = { cell: name, claim: offsetSchema };

const bodySchemas = {
  daemonJoined: z.object({
    kind: z.literal('daemonJoined'),
    daemon: name,
    vm: name,
    failureDomain: name,
    peers: addressSchema,
    operators: addressSchema,
  }),
  daemonLeft: z.object({ kind: z.literal('daemonLeft') }),
  incarnationGone: z.object({
    kind: z.literal('incarnationGone'),
    incarnation: name,
    evidence: z.enum(['vmGone', 'successorStarted']),
  }),
  ownerClaimed: z.object({ kind: z.literal('ownerClaimed'), cell: name, supersedes: offsetSchema.nullable() }),
  ownerRenewed: z.object({ kind: z.literal('ownerRenewed'), ...claimFields }),
  ownerReleased: z.object({ kind: z.literal('ownerReleased'), ...claimFields }),
  vmObserved: z.object({
    kind: z.literal('vmObserved'),
    vm: name,
    failureDomain: name,
    state: z.enum(['live', 'leaving', 'gone']),
    targets: z.array(targetSchema).max(256),
    ...readAfterField,
    basedOn: offsetSchema.nullable().exactOptional(),
  }),
  loadDecided: z.object({
    kind: z.literal('loadDecided'),
    ...claimFields,
    ...modelVersionFields,
    target: name,
    bytes: byteCounts,
    ordinal: z.int().min(1),
    urgency: urgencySchema,
    reason,
  }),
  orderAdopted: z.object({ kind: z.literal('orderAdopted'), ...claimFields, order: offsetSchema }),
  orderSettled: z.object({
    kind: z.literal('orderSettled'),
    order: offsetSchema,
    result: z.enum(['sent', 'notSent']),
  }),
  fenceRaised: z.object({ kind: z.literal('fenceRaised'), target: name, claim: offsetSchema }),
  replicaReady: z.object({ kind: z.literal('replicaReady'), replica: offsetSchema }),
  replicaFailed: z.object({
    kind: z.literal('replicaFailed'),
    replica: offsetSchema,
    reason: truncatedText,
    ...readAfterField,
  }),
  unloadDecided: z.object({ kind: z.literal('unloadDecided'), ...claimFields, replica: offsetSchema, reason }),
  replicaUnloaded: z.object({ kind: z.literal('replicaUnloaded'), replica: offsetSchema, ...readAfterField }),
  adapterLoadDecided: z.object({
    kind: z.literal('adapterLoadDecided'),
    ...claimFields,
    replica: offsetSchema,
    adapter: name,
    bytes: byteCounts,
  }),
  adapterReady: z.object({ kind: z.literal('adapterReady'), order: offsetSchema }),
  adapterUnloadDecided: z.object({
    kind: z.literal('adapterUnloadDecided'),
    ...claimFields,
    replica: offsetSchema,
    adapter: name,
  }),
  adapterUnloaded: z.object({
    kind: z.literal('adapterUnloaded'),
    replica: offsetSchema,
    adapter: name,
    ...readAfterField,
  }),
  configurationEdited: z.object({
    kind: z.literal('configurationEdited'),
    partner: name,
    operator: name,
    key: z.string().max(maximumTextLength),
    basedOn: offsetSchema.nullable(),
    value: z.unknown().refine(isBoundedJson, 'must be JSON of bounded size'),
    reason: text,
  }),
  configurationApproved: z.object({
    kind: z.literal('configurationApproved'),
    partner: name,
    operator: name,
    edit: offsetSchema,
  }),
  limitsSet: z.object({ kind: z.literal('limitsSet'), basedOn: offsetSchema.nullable(), limits: limitsSchema }),
} satisfies { [Kind in types.ControlRecordBody['kind']]: z.ZodType<Extract<types.ControlRecordBody, { kind: Kind }>> };

/** Schema of each record body by kind. */
export const controlBodySchemas: ReadonlyMap<string, z.ZodType<types.ControlRecordBody>> = new Map(
  Object.entries(bodySchemas),
);

/** Envelope of a record; of the body, only the kind is checked. */
export const envelopeSchema = z.object({
  id: recordIdSchema,
  clock: hybridTimeSchema,
  body: z.looseObject({ kind: z.string().max(maximumNameLength) }),
});
