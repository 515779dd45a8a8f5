import * as crypto from 'node:crypto';
import * as http from 'node:http';
import type * as common from '@jayhaven/common';
import * as standins from '@jayhaven/standins';
import { bearerKey } from './settingsFile.js';
import { SseReader, type StreamChunk } from './SseReader.js';

/** Time limit of a call that does not set one, milliseconds. */
const defaultTimeoutMs = 60_000;

/** A completion request of a caller. */
export interface CompletionCall {
  readonly partner: common.PartnerName;
  /** `model`, `partner/model` or `model:adapter`. */
  readonly model: string;
  /** Unique by default, so that no answer to another request can match. */
  readonly prompt?: string;
  readonly chat?: boolean;
  readonly stream?: boolean;
  readonly maximumTokens?: number;
  readonly priority?: common.Urgency;
  readonly deadlineMs?: number;
  readonly requestId?: string;
  readonly timeoutMs?: number;
  /** Aborting closes the connection. */
  readonly signal?: AbortSignal;
  /** Called for each token of a stream. */
  readonly onToken?: (index: number) => void;
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly partner: common.PartnerName;
  readonly service: string;
  readonly path?: string;
  readonly method?: string;
  readonly key?: string;
  readonly body?: string;
  readonly requestId?: string;
  readonly deadlineMs?: number;
  readonly timeoutMs?: number;
}

/** Outcome of a call as the caller sees it. */
export interface CallResult {
  readonly kind: 'completion' | 'service';
  readonly requestId: string;
  readonly key?: string;
  readonly service?: string;
  /** Hash of a completion's prompt, as in the engines' records. */
  readonly promptHash?: string;
  /**
   * `complete`: the complete answer to this request. `refused`: an error answer. `incomplete`: the answer ended early.
   * `mismatched`: not the answer to this request. `broken`: no answer.
   */
  readonly outcome: 'complete' | 'refused' | 'incomplete' | 'mismatched' | 'broken';
  /** HTTP status; 0 without an answer. */
  readonly status: number;
  readonly error?: common.ErrorBody['error'];
  readonly detail?: string;
  readonly body: string;
  /** Time to the first token, or to the answer, milliseconds. */
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly startedAtMs: number;
}

interface RawAnswer {
  readonly status: number;
  readonly body: string;
  readonly chunks: readonly StreamChunk[];
  readonly done: boolean;
  /** Error that ended the connection early. */
  readonly failure?: string;
  readonly firstMs: number;
  readonly totalMs: number;
  readonly startedAtMs: number;
}

interface RawCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
  readonly onToken: ((index: number) => void) | undefined;
}

/** Sends requests as a caller does, and checks that each answer is complete and belongs to its request. */
export class CallerClient implements AsyncDisposable {
  private readonly _agent = new http.Agent({ keepAlive: true });

  /** `onResult` is called with every result, for example to pass it to the observer. */
  public constructor(private readonly _onResult: (result: CallResult) => void = () => undefined) {}

  /** Sends a completion request to a daemon. Never throws. */
  public async complete(baseUrl: string, call: CompletionCall): Promise<CallResult> {
    const requestId = call.requestId ?? crypto.randomUUID();
    const prompt = call.prompt ?? `prompt of ${requestId}`;
    const chat = call.chat ?? true;
    const maximumTokens = call.maximumTokens ?? 8;
    const stream = call.stream ?? true;
    const content = chat ? { messages: [{ role: 'user', content: prompt }] } : { prompt };
    const raw = await this._send(baseUrl, {
      method: 'POST',
      path: chat ? '/v1/chat/completions' : '/v1/completions',
      headers: headersOf(call, requestId, { 'x-priority': call.priority }),
      body: JSON.stringify({ model: call.model, stream, max_tokens: maximumTokens, ...content }),
      timeoutMs: call.timeoutMs ?? defaultTimeoutMs,
      signal: call.signal,
      onToken: call.onToken,
    });
    const promptText = chat ? `user: ${prompt}` : prompt;
    const verdict = verifyCompletion(raw, stream, requestId, standins.answerText(promptText, maximumTokens));
    return this._report('completion', requestId, raw, verdict, { promptHash: standins.promptHash(promptText) });
  }

  /** Calls a plain service through a daemon. Never throws. */
  public async callService(baseUrl: string, call: ServiceCall): Promise<CallResult> {
    const requestId = call.requestId ?? crypto.randomUUID();
    const path = call.path ?? '/orders';
    const raw = await this._send(baseUrl, {
      method: call.method ?? 'POST',
      path: `/services/${call.service}${path}`,
      headers: headersOf(call, requestId, { 'idempotency-key': call.key }),
      body: call.body ?? '{}',
      timeoutMs: call.timeoutMs ?? defaultTimeoutMs,
      signal: undefined,
      onToken: undefined,
    });
    const key = call.key === undefined ? {} : { key: call.key };
    const verdict = verifyService(raw, call.key ?? null, path);
    return this._report('service', requestId, raw, verdict, { service: call.service, ...key });
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._agent.destroy();
    return Promise.resolve();
  }

  private _report(
    kind: CallResult['kind'],
    requestId: string,
    raw: RawAnswer,
    verdict: Pick<CallResult, 'outcome' | 'detail'>,
    names: Pick<CallResult, 'key' | 'service' | 'promptHash'>,
  ): CallResult {
    const error = raw.status >= 400 ? errorOf(raw.body) : undefined;
    const result: CallResult = {
      ...{ kind, requestId, ...names, ...verdict, status: raw.status, body: raw.body },
      ...{ firstTokenMs: raw.firstMs, totalMs: raw.totalMs, startedAtMs: raw.startedAtMs },
      ...(error ? { error } : {}),
    };
    this._onResult(result);
    return result;
  }

  private _send(baseUrl: string, call: RawCall): Promise<RawAnswer> {
    return new Promise((resolve) => {
      const startedAtMs = Date.now();
      const startMs = performance.now();
      const reader = new SseReader();
      const chunks: StreamChunk[] = [];
      const pieces: Buffer[] = [];
      let status = 0;
      let firstMs = Number.NaN;
      const finish = (failure?: string): void => {
        clearTimeout(timer);
        const totalMs = performance.now() - startMs;
        const answer = { status, body: Buffer.concat(pieces).toString(), chunks, done: reader.done, startedAtMs };
        resolve({ ...answer, firstMs, totalMs, ...(failure === undefined ? {} : { failure }) });
      };
      const request = http.request(`${baseUrl}${call.path}`, {
        method: call.method,
        agent: this._agent,
        headers: { ...call.headers, 'content-length': Buffer.byteLength(call.body) },
        ...(call.signal ? { signal: call.signal } : {}),
      });
      const timer = setTimeout(() => {
        request.destroy(new Error(`no complete answer within ${call.timeoutMs} ms`));
      }, call.timeoutMs);
      request.on('error', (error) => {
        finish(error.message);
      });
      request.on('response', (response) => {
        status = response.statusCode ?? 0;
        const streaming = (response.headers['content-type'] ?? '').startsWith('text/event-stream');
        response.on('data', (piece: Buffer) => {
          firstMs = Number.isNaN(firstMs) ? performance.now() - startMs : firstMs;
          if (!streaming) {
            pieces.push(piece);
            return;
          }
          try {
            for (const chunk of reader.push(piece)) {
              chunks.push(chunk);
              call.onToken?.(chunk.token_index ?? -1);
            }
          } catch (error) {
            request.destroy(new Error(`stream is not valid: ${String(error)}`));
          }
        });
        response.on('error', (error) => {
          finish(error.message);
        });
        response.on('end', () => {
          finish();
        });
      });
      request.end(call.body);
    });
  }
}

function headersOf(
  call: { readonly partner: string; readonly deadlineMs?: number },
  requestId: string,
  additionalHeaders: Readonly<Record<string, string | undefined>>,
): Readonly<Record<string, string>> {
  const set = Object.entries(additionalHeaders).filter((entry): entry is [string, string] => entry[1] !== undefined);
  return {
    authorization: `Bearer ${bearerKey('caller', call.partner)}`,
    'content-type': 'application/json',
    'x-request-id': requestId,
    ...(call.deadlineMs === undefined ? {} : { 'x-deadline-ms': String(call.deadlineMs) }),
    ...Object.fromEntries(set),
  };
}

type Verdict = Pick<CallResult, 'outcome' | 'detail'>;

function verifyStatus(raw: RawAnswer): Verdict | undefined {
  if (raw.status === 0) {
    return { outcome: 'broken', detail: raw.failure ?? 'no answer' };
  }
  if (raw.status >= 400) {
    return { outcome: raw.failure === undefined ? 'refused' : 'broken' };
  }
  return undefined;
}

function verifyCompletion(raw: RawAnswer, stream: boolean, requestId: string, expected: string): Verdict {
  const failure = verifyStatus(raw);
  if (failure) {
    return failure;
  }
  const answers = stream ? raw.chunks : [parseAnswer(raw.body)];
  const text = answers.map(textOf).join('');
  const mismatchedAnswer = answers.find((answer) => answer.error === undefined && answer.id !== requestId);
  if (mismatchedAnswer && raw.failure === undefined) {
    return { outcome: 'mismatched', detail: `id ${mismatchedAnswer.id ?? 'none'} in the answer to ${requestId}` };
  }
  if (!expected.startsWith(text)) {
    return { outcome: 'mismatched', detail: `got "${text}", expected "${expected}"` };
  }
  const interruption =
    raw.failure ?? (answers.some((answer) => answer.error !== undefined) ? 'error event' : undefined);
  if (interruption !== undefined || text !== expected || (stream && !raw.done)) {
    // A truncated answer with an end marker or a valid end of the message looks complete to a caller.
    const endsNormally = interruption === undefined && (!stream || raw.done);
    return {
      outcome: endsNormally ? 'mismatched' : 'incomplete',
      detail: `${interruption ?? 'ended early'} after "${text}"`,
    };
  }
  return { outcome: 'complete' };
}

function verifyService(raw: RawAnswer, key: string | null, path: string): Verdict {
  const failure = verifyStatus(raw);
  if (failure) {
    return failure;
  }
  if (raw.failure !== undefined) {
    return { outcome: 'incomplete', detail: raw.failure };
  }
  const answer = (parseObject(raw.body) ?? {}) as { readonly key?: unknown; readonly path?: unknown };
  const matches = (answer.key ?? null) === key && typeof answer.path === 'string' && answer.path.endsWith(path);
  return matches ? { outcome: 'complete' } : { outcome: 'mismatched', detail: raw.body };
}

function parseAnswer(body: string): StreamChunk {
  return parseObject(body) ?? {};
}

function parseObject(body: string): object | undefined {
  try {
    const value: unknown = JSON.parse(body);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}

function textOf(chunk: StreamChunk): string {
  const choice = chunk.choices?.[0] as
    | { readonly text?: string; readonly delta?: { content?: string }; readonly message?: { content?: string } }
    | undefined;
  return choice?.text ?? choice?.delta?.content ?? choice?.message?.content ?? '';
}

function errorOf(body: string): common.ErrorBody['error'] | undefined {
  const value = parseObject(body) as Partial<common.ErrorBody> | undefined;
  return value?.error;
}
