/** Parses values of a topic into typed records. */
import * as common from '@jayhaven/common';
import type { z } from 'zod';
import type * as types from '../Types.js';
import { controlBodySchemas, envelopeSchema } from './schemas.js';

/** Reason why this version cannot apply a value as a record. */
export interface ParseFailure {
  readonly rule: 'invalidRecord' | 'unknownKind';
  readonly message: string;
  /** Identifier of the record, if the envelope is valid. */
  readonly id?: types.RecordId;
}

/** Parses a value of the topic `control`. */
export function parseControlRecord(
  value: unknown,
): common.Outcome<types.RecordEnvelope<types.ControlRecordBody>, ParseFailure> {
  return parseRecord(value, controlBodySchemas);
}

/** Parses a value: first the envelope, then the body with the schema of its kind. */
export function parseRecord<Body>(
  value: unknown,
  bodySchemas: ReadonlyMap<string, z.ZodType<Body>>,
): common.Outcome<types.RecordEnvelope<Body>, ParseFailure> {
  const envelope = envelopeSchema.safeParse(value);
  if (!envelope.success) {
    return common.fail({ rule: 'invalidRecord', message: describeError('envelope', envelope.error) });
  }
  const { id, clock, body } = envelope.data;
  const schema = bodySchemas.get(body.kind);
  if (schema === undefined) {
    return common.fail({ rule: 'unknownKind', message: `record kind "${body.kind}" is not known`, id });
  }
  const parsed = schema.safeParse(body);
  return parsed.success
    ? common.succeed({ id, clock, body: parsed.data })
    : common.fail({ rule: 'invalidRecord', message: describeError(body.kind, parsed.error), id });
}

function describeError(location: string, error: z.ZodError): string {
  const issue = error.issues[0];
  return `${location}: ${issue === undefined ? 'invalid' : `${issue.path.join('.')}: ${issue.message}`}`;
}
