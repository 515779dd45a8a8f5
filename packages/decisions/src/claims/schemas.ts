/** Schemas of the records of the topics `claims-<n>`. */
import type * as common from '@jayhaven/common';
import { z } from 'zod';
import { parseRecord, type ParseFailure } from '../records/parse.js';
import type * as types from '../Types.js';

/** Maximum size of an answer that is stored with a claim, bytes. */
export const maximumStoredAnswerBytes = 4096;

const name = z.string().min(1).max(512);
const answer = z.object({
  contentType: z.string().max(256),
  base64: z.base64().max(4 * Math.ceil(maximumStoredAnswerBytes / 3)),
});

const bodies = {
  claimed: z.object({ kind: z.literal('claimed'), key: name, fingerprint: name, attempt: name, sender: name }),
  completed: z.object({
    kind: z.literal('completed'),
    key: name,
    attempt: name,
    status: z.int().min(100).max(599),
    answer: answer.exactOptional(),
  }),
  released: z.object({ kind: z.literal('released'), key: name, attempt: name }),
  abandoned: z.object({ kind: z.literal('abandoned'), key: name, attempt: name }),
} satisfies { [Kind in types.ClaimRecordBody['kind']]: z.ZodType<Extract<types.ClaimRecordBody, { kind: Kind }>> };

const claimBodySchemas: ReadonlyMap<string, z.ZodType<types.ClaimRecordBody>> = new Map(Object.entries(bodies));

/** Parses a value of a claims topic. */
export function parseClaimRecord(
  value: unknown,
): common.Outcome<types.RecordEnvelope<types.ClaimRecordBody>, ParseFailure> {
  return parseRecord(value, claimBodySchemas);
}
