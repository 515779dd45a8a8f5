import type * as http from 'node:http';
import type * as common from '@jayhaven/common';
import type { CallerError } from '../routing/Types.js';
import type { DaemonContext } from '../Types.js';
import { errorBody, sendError } from './errorResponses.js';
import { processStalls } from './EventLoopStalls.js';
import type { CallerRequest } from './Types.js';

/** Margin before the deadline, so that the end of the response arrives in time, milliseconds. */
const responseMarginMs = 25;
/** Largest share of a short deadline that the margin may take. */
const maximumMarginShare = 0.25;
/** Time for a slow caller to read the end of a response that ended at its deadline, milliseconds. */
const slowCallerTimeoutMs = 2_000;

/**
 * Time by which a response must end to arrive before a deadline, milliseconds. A timer may fire late by as much as the
 * event loop was recently stalled.
 */
export function responseLimitMs(deadlineMs: number, stallMs: number): number {
  return deadlineMs - Math.min(responseMarginMs + stallMs, deadlineMs * maximumMarginShare);
}

/** Callbacks of the call that produces a response. */
export interface CallerResponseSource {
  /** Model of the request, for the timeline. */
  readonly model?: () => string | undefined;
  /** Whether the request has been executed so far. */
  readonly executed: () => common.Executed;
  /** Called when the response can be written again without buffering. */
  readonly onDrain: () => void;
  /** Called when the response ends: by the call itself, at the deadline, or because the caller disconnected. */
  readonly onEnded: () => void;
}

/** A complete response with its body. */
export interface CompleteResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer | string;
}

/** The response to one caller. It ends exactly once, at the latest at the deadline. */
export class CallerResponse {
  /** Resolves with the outcome when the last byte is handed to the socket or the caller has disconnected. */
  public readonly closed: Promise<string>;
  private readonly _response: http.ServerResponse;
  private _outcome: string | undefined;
  private _timer: NodeJS.Timeout | undefined;
  private _limitMs = Infinity;
  private _firstEventMs: number | undefined;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _request: CallerRequest,
    private readonly _source: CallerResponseSource,
  ) {
    const response = _request.response;
    this._response = response;
    response.on('drain', _source.onDrain);
    response.on('error', () => undefined);
    const unsubscribe = _request.drainEnd.onReached(() => {
      this._endForStop();
    });
    this.closed = new Promise((resolve) => {
      const close = (): void => {
        this._end('caller_gone');
        clearTimeout(this._timer);
        unsubscribe();
        resolve(this._outcome ?? 'caller_gone');
      };
      response.on('finish', close);
      response.on('close', close);
      if (response.destroyed) {
        close();
      }
    });
  }

  /** Whether the response has ended. */
  public get ended(): boolean {
    return this._outcome !== undefined;
  }

  /** Starts the deadline timer. Returns the monotonic time by which the response ends. */
  public setDeadline(deadlineMs: number): number {
    const limitedMs = Math.min(deadlineMs, this._context.settings.limits.maximumDeadlineMs);
    const stallMs = processStalls.recentMaximumMs(this._context.now());
    this._limitMs = this._request.arrivedMs + responseLimitMs(limitedMs, stallMs);
    this._timer = setTimeout(
      () => {
        this.fail(this._deadlineExceeded());
        // A caller that does not read must not keep the connection and its buffers.
        this._timer = setTimeout(() => this._response.destroy(), slowCallerTimeoutMs);
      },
      Math.max(0, this._limitMs - this._context.now()),
    );
    return this._limitMs;
  }

  /** Writes events of a stream. Returns false if the caller reads more slowly than the stream is produced. */
  public writeEvents(text: string): boolean {
    const nowMs = this._context.now();
    if (!this.ended && nowMs >= this._limitMs) {
      this.fail(this._deadlineExceeded());
    }
    if (this.ended) {
      return true;
    }
    if (this._firstEventMs === undefined) {
      this._firstEventMs = nowMs;
      this._response.writeHead(200, {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': this._request.requestId,
      });
    }
    return this._response.write(text);
  }

  /** Ends a stream whose end marker has been written. */
  public completeStream(): void {
    if (this._end('ok')) {
      this._response.end();
    }
  }

  /** Sends a complete response. */
  public send(response: CompleteResponse): void {
    if (this._context.now() >= this._limitMs) {
      this.fail(this._deadlineExceeded());
    } else if (this._end('ok')) {
      this._response.writeHead(response.status, {
        ...response.headers,
        'content-length': Buffer.byteLength(response.body),
        'x-request-id': this._request.requestId,
      });
      this._response.end(response.body);
    }
  }

  /** Ends the response with an error: an error response if nothing was sent yet, otherwise an event in the stream. */
  public fail(error: CallerError): void {
    if (!this._end(error.type, error)) {
      return;
    }
    if (sendError(this._response, error, this._request.requestId) || this._response.destroyed) {
      return;
    }
    const body = JSON.stringify(errorBody(error, this._request.requestId));
    this._response.end(`event: error\ndata: ${body}\n\n`);
  }

  /** Ends a response that has not begun. One that has begun may still become complete before the process ends. */
  private _endForStop(): void {
    if (!this.ended && !this._response.headersSent) {
      this.fail(this._request.drainEnd.error(this._source.executed()));
    }
  }

  private _deadlineExceeded(): CallerError {
    const executed = this._source.executed();
    const message = 'the request was not finished before its deadline';
    return { status: 504, type: 'deadline_exceeded', message, executed, retryAfterMs: 1_000 };
  }

  private _end(outcome: string, error?: CallerError): boolean {
    if (this._outcome !== undefined) {
      return false;
    }
    this._outcome = outcome;
    this._record(outcome, error);
    this._source.onEnded();
    return true;
  }

  private _record(outcome: string, error: CallerError | undefined): void {
    const { arrivedMs, requestId } = this._request;
    const first = this._firstEventMs;
    const model = this._source.model?.();
    this._context.timeline.record({
      part: 'front',
      event: eventName(outcome, error),
      request: requestId,
      ...(model === undefined ? {} : { model }),
      detail: {
        outcome,
        totalMs: Math.round(this._context.now() - arrivedMs),
        ...(first === undefined ? {} : { firstEventMs: Math.round(first - arrivedMs) }),
        ...(error ? { executed: error.executed, reason: error.message, retryAfterMs: error.retryAfterMs ?? 0 } : {}),
      },
    });
  }
}

function eventName(outcome: string, error: CallerError | undefined): string {
  if (!error) {
    return outcome === 'ok' ? 'finished' : 'callerGone';
  }
  return error.executed === 'no' ? 'refused' : 'failed';
}
