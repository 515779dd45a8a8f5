import * as http from 'node:http';
import { fail, succeed } from './Outcome.js';
import type { Outcome } from './Types.js';

/** Largest response body that the client reads, bytes. */
const defaultMaximumBodyBytes = 16 * 1024 * 1024;

/** Why an HTTP call has no usable response. */
export interface HttpFailure {
  readonly kind: 'connectFailed' | 'broken' | 'timeout' | 'tooLarge' | 'invalidBody';
  readonly message: string;
  /** False only if no byte of the request can have reached the peer. */
  readonly mayHaveRun: boolean;
}

/** A complete response with a parsed JSON body; `undefined` for an empty body. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: unknown;
}

/** A request of the JSON client. */
export interface JsonRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Absolute URL with an IP address and port. */
  readonly url: string;
  readonly body?: unknown;
  readonly headers?: Readonly<Record<string, string>>;
  /** Limit for the whole call, milliseconds. */
  readonly timeoutMs: number;
}

/** JSON client over Node's `http` with keep-alive. Never retries by itself. */
export class JsonHttpClient implements AsyncDisposable {
  private readonly _agent: http.Agent;

  public constructor(maximumSocketsPerHost = 32) {
    this._agent = new http.Agent({ keepAlive: true, maxSockets: maximumSocketsPerHost });
  }

  /** Sends one request and reads its JSON response. */
  public request(request: JsonRequest): Promise<Outcome<JsonResponse, HttpFailure>> {
    return new Promise((resolve) => {
      const payload = request.body === undefined ? undefined : Buffer.from(JSON.stringify(request.body));
      let connected = false;
      const outgoing = http.request(request.url, {
        method: request.method,
        agent: this._agent,
        headers: {
          ...request.headers,
          ...(payload ? { 'content-type': 'application/json', 'content-length': String(payload.length) } : {}),
        },
      });
      const finish = (outcome: Outcome<JsonResponse, HttpFailure>): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const timer = setTimeout(() => {
        finish(fail({ kind: 'timeout', message: `no response within ${request.timeoutMs} ms`, mayHaveRun: connected }));
        outgoing.destroy();
      }, request.timeoutMs);
      outgoing.on('socket', (socket) => {
        if (!socket.connecting) {
          connected = true;
          return;
        }
        socket.once('connect', () => {
          connected = true;
        });
      });
      outgoing.on('error', (error) => {
        finish(fail({ kind: connected ? 'broken' : 'connectFailed', message: error.message, mayHaveRun: connected }));
      });
      outgoing.on('response', (response) => {
        readBody(response, defaultMaximumBodyBytes).then(
          (text) => {
            finish(parseResponse(response, text));
          },
          (error: unknown) => {
            finish(fail({ kind: 'broken', message: String(error), mayHaveRun: true }));
          },
        );
      });
      outgoing.end(payload);
    });
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._agent.destroy();
    return Promise.resolve();
  }
}

function parseResponse(response: http.IncomingMessage, text: string): Outcome<JsonResponse, HttpFailure> {
  try {
    const body: unknown = text === '' ? undefined : JSON.parse(text);
    return succeed({ status: response.statusCode ?? 0, headers: response.headers, body });
  } catch (error) {
    return fail({ kind: 'invalidBody', message: String(error), mayHaveRun: true });
  }
}

/** Reads a whole body as text. Rejects when it is cut short or larger than the limit in bytes. */
export async function readBody(message: http.IncomingMessage, maximumBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > maximumBytes) {
      throw new BodyTooLargeError(maximumBytes);
    }
    chunks.push(chunk);
  }
  if (!message.complete) {
    throw new Error('message ended early');
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Thrown by `readBody` for a body over its limit. */
export class BodyTooLargeError extends Error {
  public constructor(maximumBytes: number) {
    super(`body is larger than ${maximumBytes} bytes`);
  }
}
