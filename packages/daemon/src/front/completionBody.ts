/** Parses the body of a completion request and builds the body for the engine. */
import * as common from '@jayhaven/common';
import { z } from 'zod';
import { notExecuted } from '../routing/callerErrors.js';
import type { CallerError } from '../routing/Types.js';
import type { CompletionBody } from './Types.js';

/** Characters of the prompt that are used for prefix affinity. */
const promptPrefixLength = 256;

const commonFields = { model: z.string().min(1).max(300), stream: z.boolean().nullish() };
const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({ role: z.string(), content: z.unknown() })).min(1),
});
const textSchema = z.looseObject({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.unknown()).min(1)]),
});

/** Format of a completion request: messages or a text prompt. */
export type CompletionKind = 'chat' | 'text';

/** Parses and validates a request body. */
export function parseCompletionBody(kind: CompletionKind, raw: Buffer): common.Outcome<CompletionBody, CallerError> {
  let json: unknown;
  try {
    json = JSON.parse(raw.toString('utf8'));
  } catch {
    return common.fail(notExecuted(400, 'invalid_body', 'the body is not valid JSON'));
  }
  if (kind === 'chat') {
    const chat = chatSchema.safeParse(json);
    return chat.success ? parsedBody(raw, chat.data, chat.data.messages[0]?.content) : invalidBody(chat.error);
  }
  const text = textSchema.safeParse(json);
  return text.success ? parsedBody(raw, text.data, text.data.prompt) : invalidBody(text.error);
}

/** Builds the body for an engine, with the engine's model name and the token index to resume from, if any. */
export function engineBody(body: CompletionBody, engineName: string, resumeFrom: number): string {
  // JSON.stringify omits undefined fields, so a `resume_from` of the caller is always removed or replaced.
  const resume = resumeFrom > 0 ? resumeFrom : undefined;
  return JSON.stringify({ ...body.fields, model: engineName, resume_from: resume });
}

function parsedBody(
  raw: Buffer,
  fields: Readonly<Record<string, unknown>> & { readonly model: string; readonly stream?: boolean | null | undefined },
  prompt: unknown,
): common.Outcome<CompletionBody, CallerError> {
  const text = typeof prompt === 'string' ? prompt : JSON.stringify(prompt ?? '');
  return common.succeed({
    raw,
    fields,
    model: fields.model,
    stream: fields.stream === true,
    promptPrefix: text.slice(0, promptPrefixLength),
  });
}

function invalidBody(error: z.ZodError): common.Outcome<CompletionBody, CallerError> {
  const issue = error.issues[0];
  const message = issue ? `${issue.path.join('.') || 'body'}: ${issue.message}` : 'the body is malformed';
  return common.fail(notExecuted(400, 'invalid_body', message));
}
