import * as crypto from 'node:crypto';
import * as zod from 'zod';

/** Maximum number of tokens of a response when the request sets no limit. */
const defaultMaximumTokens = 16;

const messageSchema = zod.looseObject({ role: zod.string(), content: zod.unknown() });
const completionSchema = zod.looseObject({
  model: zod.string(),
  prompt: zod.unknown().optional(),
  messages: zod.array(messageSchema).optional(),
  stream: zod.boolean().nullish(),
  max_tokens: zod.number().int().min(1).nullish(),
  max_completion_tokens: zod.number().int().min(1).nullish(),
  resume_from: zod.number().int().min(0).nullish(),
});

/** The fields of a completion request that the engine uses. */
export interface CompletionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly stream: boolean;
  readonly maximumTokens: number;
  readonly resumeFrom: number;
}

/** Parses the body of a completion request. Returns `undefined` if it is not valid. */
export function parseCompletion(body: unknown): CompletionRequest | undefined {
  const parsed = completionSchema.safeParse(body);
  if (!parsed.success) {
    return undefined;
  }
  const { model, prompt, messages, stream, max_tokens, max_completion_tokens, resume_from } = parsed.data;
  return {
    model,
    prompt: promptText(prompt, messages),
    stream: stream ?? false,
    maximumTokens: max_tokens ?? max_completion_tokens ?? defaultMaximumTokens,
    resumeFrom: resume_from ?? 0,
  };
}

function promptText(prompt: unknown, messages: readonly zod.infer<typeof messageSchema>[] | undefined): string {
  if (!messages) {
    return typeof prompt === 'string' ? prompt : JSON.stringify(prompt ?? '');
  }
  return messages.map((message) => `${message.role}: ${textOf(message.content)}`).join('\n');
}

function textOf(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

/** Short hash of a prompt. Each token contains it, so that a token can be matched to its prompt. */
export function promptHash(prompt: string): string {
  return crypto.createHash('sha256').update(prompt).digest('hex').slice(0, 8);
}

/** Returns the token at an index of the response to a prompt. */
export function tokenText(hash: string, index: number): string {
  return `t${hash}-${index} `;
}

/** Returns the text of the response to a prompt, from a token index on. */
export function answerText(prompt: string, maximumTokens: number, from = 0): string {
  const hash = promptHash(prompt);
  let text = '';
  for (let index = from; index < maximumTokens; index += 1) {
    text += tokenText(hash, index);
  }
  return text;
}
