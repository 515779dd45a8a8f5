import type * as http from 'node:http';
import {
  type CallerRequest,
  type ForwardingFields,
  type ResponseHead,
  RequestCodec,
  type StartQuery,
} from '../contracts/index.js';

/** A codec with its own header names, so that forwarding tests do not depend on a platform. */
export class FakeCodec extends RequestCodec {
  public readRequest(request: http.IncomingMessage): CallerRequest | undefined {
    const attemptId = request.headers['x-attempt'];
    const model = request.headers['x-model'];
    const parts = request.headers['x-parts'];
    const lastEventId = request.headers['last-event-id'];
    const credential = request.headers['x-key'];
    const resumes = request.headers['x-resumes'];
    if (typeof attemptId !== 'string') {
      return undefined;
    }
    return {
      attemptId,
      host: request.headers.host ?? '',
      deadlineMs: 5_000,
      promptPartIds: typeof parts === 'string' ? parts.split(',') : [],
      ...(typeof lastEventId === 'string' && { lastEventId }),
      ...(typeof credential === 'string' && { credential }),
      ...(typeof resumes === 'string' && { resumedAttemptId: resumes }),
      ...(typeof model === 'string' && { modelReference: { model } }),
    };
  }

  public forwardedHeaders(request: http.IncomingMessage, fields: ForwardingFields): string[] {
    const headers = [...copyHeaders(request), 'Host', request.headers.host ?? ''];
    headers.push('x-attempt', String(request.headers['x-attempt']));
    headers.push('x-replica', fields.replicaId, 'content-length', String(fields.bodyBytes));
    return fields.lastEventId === undefined ? headers : [...headers, 'last-event-id', fields.lastEventId];
  }

  public readResponseHead(response: http.IncomingMessage): ResponseHead {
    const attemptId = response.headers['x-attempt'];
    const retryAfter = response.headers['retry-after'];
    const rateLimit = response.headers['x-rate-limit'];
    const load = response.headers['x-load'];
    return {
      status: response.statusCode ?? 0,
      leaving: response.headers['x-leaving'] !== undefined,
      ...(retryAfter !== undefined && { retryAfterMs: Number(retryAfter) * 1000 }),
      ...(rateLimit !== undefined && { rateLimitPerSecond: Number(rateLimit) }),
      ...(typeof load === 'string' && { load: readLoad(load) }),
      notExecuted: response.headers['x-not-run'] !== undefined,
      fromOtherReplica: response.statusCode === 421,
      contentEncoded: false,
      isSigned: response.headers['x-unsigned'] === undefined,
      ...(typeof attemptId === 'string' && { attemptId }),
    };
  }

  public returnedHeaders(response: http.IncomingMessage): string[] {
    const length = response.headers['content-length'];
    return [...copyHeaders(response), ...(length === undefined ? [] : ['Content-Length', length])];
  }

  /** Replicas of tests state their start only if this is set. */
  public checksStarts = false;

  public startQuery(): StartQuery | undefined {
    return this.checksStarts ? { path: '/start', headers: ['host', 'h'] } : undefined;
  }

  public readStart(status: number, body: string): number | undefined {
    return status === 200 ? Number(body) : undefined;
  }

  public localResponseHeaders(_attemptId: string | undefined, retryAfterMs: number | undefined): string[] {
    return retryAfterMs === undefined ? [] : ['Retry-After', String(retryAfterMs / 1000)];
  }
}

/** Reads the running and waiting requests and the slots of a replica. */
function readLoad(text: string): { readonly running: number; readonly waiting: number; readonly slots: number } {
  const [running = 0, waiting = 0, slots = 0] = text.split(',').map(Number);
  return { running, waiting, slots };
}

/** Headers that a test adds; their names begin with "x-o". */
function copyHeaders({ rawHeaders }: http.IncomingMessage): string[] {
  return rawHeaders.flatMap((name, index) =>
    index % 2 === 0 && name.startsWith('x-o') ? [name, rawHeaders[index + 1] ?? ''] : [],
  );
}
