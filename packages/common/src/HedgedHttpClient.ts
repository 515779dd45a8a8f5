import * as timers from 'node:timers/promises';
import { Emitter } from './Emitter.js';
import {
  type BytesRequest,
  type BytesResponse,
  type HttpFailure,
  JsonHttpClient,
  type JsonHttpClientLimits,
} from './JsonHttpClient.js';
import type { Outcome } from './Types.js';

type Reply = Outcome<BytesResponse, HttpFailure>;

/** How an idempotent request without a response is repeated. */
export interface Repetition {
  /** Time without a response after which the request is repeated, milliseconds. Less than its timeout. */
  readonly afterMs: number;
  /** Absolute URL of the repetition, which may ask the server to respond sooner. */
  readonly url: string;
}

/** A request that was repeated. */
export interface RepeatedRequest {
  /** URL of the first request. */
  readonly url: string;
  /** Which of the requests had the response that counts; `none` if both failed. */
  readonly answered: 'first' | 'repetition' | 'none';
}

/**
 * HTTP client that repeats an idempotent request on a new connection if a response is overdue. A kept connection can go
 * silent without a reset, which looks like a server that is out of reach until a new connection shows the difference.
 */
export class HedgedHttpClient implements AsyncDisposable {
  private readonly _kept: JsonHttpClient;
  private readonly _new: JsonHttpClient;
  private readonly _onRepeated = new Emitter<RepeatedRequest>();
  /** Fires when a repeated request has ended. */
  public readonly onRepeated = this._onRepeated.event;

  public constructor(limits: JsonHttpClientLimits = {}) {
    this._kept = new JsonHttpClient(limits);
    this._new = new JsonHttpClient({ ...limits, keepAlive: false });
  }

  /** Sends a request once. */
  public send(request: BytesRequest): Promise<Reply> {
    return this._kept.requestBytes(request);
  }

  /**
   * Sends an idempotent request, repeats it if necessary, and returns the first response. Fails only if the repetition
   * fails too, or if the server cannot be connected to.
   */
  public async sendIdempotent(request: BytesRequest, repetition: Repetition): Promise<Reply> {
    const withdrawal = new AbortController();
    const { signal } = withdrawal;
    const first = this._kept.requestBytes({ ...request, signal });
    const early = await outcomeWithin(first, repetition.afterMs);
    if (early !== undefined && (early.ok || !early.failure.mayHaveRun)) {
      return early;
    }
    // The repetition has its own timeout: after a pause of this process the timeout of the first request may be over too.
    const timeoutMs = request.timeoutMs - repetition.afterMs;
    const second = this._new.requestBytes({ ...request, url: repetition.url, timeoutMs, signal });
    const reply = await firstSuccess(first, second);
    withdrawal.abort();
    const answered = reply === (await first) ? 'first' : 'repetition';
    this._onRepeated.fire({ url: request.url, answered: reply.ok ? answered : 'none' });
    return reply;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._kept[Symbol.asyncDispose]();
    await this._new[Symbol.asyncDispose]();
  }
}

/** Outcome of a request if it is known within a time, milliseconds; undefined otherwise. */
async function outcomeWithin(reply: Promise<Reply>, durationMs: number): Promise<Reply | undefined> {
  const timer = new AbortController();
  const timeout = timers.setTimeout(durationMs, undefined, { signal: timer.signal }).catch(() => undefined);
  const outcome = await Promise.race([reply, timeout]);
  timer.abort();
  return outcome;
}

/** First success of two requests, or else the failure that came last. */
async function firstSuccess(first: Promise<Reply>, second: Promise<Reply>): Promise<Reply> {
  const [reply, other] = await Promise.race([
    first.then((outcome) => [outcome, second] as const),
    second.then((outcome) => [outcome, first] as const),
  ]);
  return reply.ok ? reply : other;
}
