import * as http from 'node:http';
import { closeIdleConnections } from './closeIdleConnections.js';
import { ByteCollector } from './ByteCollector.js';
import { statusFault } from './messageHead.js';
import { fail, succeed } from './Outcome.js';
import { PacedAgent } from './PacedAgent.js';
import { PacedBody } from './PacedBody.js';
import type { Outcome } from './Types.js';

const defaultMaximumSocketsPerHost = 32;
/** Largest response body that the client reads, bytes. */
const defaultMaximumBodyBytes = 16 * 1024 * 1024;

/** Reason why an HTTP request has no usable response. */
export interface HttpFailure {
  readonly kind: 'connectFailed' | 'broken' | 'timeout' | 'tooLarge' | 'invalidBody' | 'invalidRequest' | 'withdrawn';
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
  /** Timeout of the whole request, milliseconds. */
  readonly timeoutMs: number;
  /**
   * Called when the connection is established, before the first byte of the request is written. The request is
   * withdrawn if this returns false: a process that was paused in the meantime may no longer be allowed to send it.
   */
  readonly mayWrite?: () => boolean;
  /** Withdraws the request and closes its connection. */
  readonly signal?: AbortSignal;
}

/** A complete response with the bytes of its body. */
export interface BytesResponse {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A request whose body is raw bytes. */
export interface BytesRequest extends Omit<JsonRequest, 'body'> {
  readonly body?: Buffer;
}

/** Limits of a client. */
export interface JsonHttpClientLimits {
  readonly maximumSocketsPerHost?: number;
  readonly maximumBodyBytes?: number;
  /**
   * Time after which an idle connection is closed, milliseconds; unlimited if absent. A connection may go silent without a
   * reset, which a request on it notices only by its timeout.
   */
  readonly maximumIdleMs?: number;
  /** False to open a connection for each request; true if absent. */
  readonly keepAlive?: boolean;
}

/** Client on Node's `http` with keep-alive for JSON and raw bodies. Never retries a request. */
export class JsonHttpClient implements AsyncDisposable {
  private readonly _agent: http.Agent;
  private readonly _maximumBodyBytes: number;

  public constructor(limits: JsonHttpClientLimits = {}) {
    const { maximumSocketsPerHost: maxSockets = defaultMaximumSocketsPerHost, maximumIdleMs: timeout } = limits;
    const { keepAlive = true } = limits;
    this._maximumBodyBytes = limits.maximumBodyBytes ?? defaultMaximumBodyBytes;
    this._agent = new PacedAgent({ keepAlive, maxSockets, ...(timeout !== undefined && { timeout }) });
  }

  /** Sends one request and reads its JSON response. */
  public async request(request: JsonRequest): Promise<Outcome<JsonResponse, HttpFailure>> {
    const { body, headers, ...rest } = request;
    const outcome = await this.requestBytes({
      ...rest,
      headers: { ...headers, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
      ...(body === undefined ? {} : { body: Buffer.from(JSON.stringify(body)) }),
    });
    return outcome.ok ? parseResponse(outcome.value) : outcome;
  }

  /** Sends one request and reads the bytes of its response. */
  public requestBytes(request: BytesRequest): Promise<Outcome<BytesResponse, HttpFailure>> {
    const opened = this._open(request);
    if (!opened.ok) {
      return Promise.resolve(opened);
    }
    const outgoing = opened.value;
    return new Promise((resolve) => {
      const payload = request.body;
      let connected = false;
      const finish = (outcome: Outcome<BytesResponse, HttpFailure>): void => {
        clearTimeout(timer);
        request.signal?.removeEventListener('abort', withdraw);
        resolve(outcome);
      };
      const giveUp = (kind: HttpFailure['kind'], message: string): void => {
        finish(fail({ kind, message, mayHaveRun: connected }));
        outgoing.destroy();
        closeIdleConnections(this._agent, outgoing.host, Number(new URL(request.url).port));
      };
      const withdraw = (): void => {
        giveUp('withdrawn', 'the request was withdrawn');
      };
      const timer = setTimeout(() => {
        giveUp('timeout', `no response within ${request.timeoutMs} ms`);
      }, request.timeoutMs);
      request.signal?.addEventListener('abort', withdraw, { once: true });
      const write = (): void => {
        if (request.mayWrite?.() === false) {
          finish(fail({ kind: 'withdrawn', message: 'the request is no longer allowed', mayHaveRun: false }));
          outgoing.destroy();
          return;
        }
        connected = true;
        outgoing.end(payload);
      };
      outgoing.on('socket', (socket) => {
        if (socket.connecting) {
          socket.once('connect', write);
        } else {
          write();
        }
      });
      outgoing.on('error', (error) => {
        finish(fail({ kind: connected ? 'broken' : 'connectFailed', message: error.message, mayHaveRun: connected }));
      });
      outgoing.on('response', (response) => {
        const fault = statusFault(response);
        if (fault !== undefined) {
          giveUp('broken', fault);
          return;
        }
        readBytes(response, this._maximumBodyBytes).then(
          (body) => {
            finish(succeed({ status: response.statusCode ?? 0, headers: response.headers, body }));
          },
          (error: unknown) => {
            const kind = error instanceof BodyTooLargeError ? 'tooLarge' : 'broken';
            finish(fail({ kind, message: String(error), mayHaveRun: true }));
          },
        );
      });
    });
  }

  /** Creates a request without sending it. Node.js throws if its address or headers are invalid. */
  private _open({ url, method, headers, body }: BytesRequest): Outcome<http.ClientRequest, HttpFailure> {
    const length = body ? { 'content-length': String(body.length) } : {};
    try {
      return succeed(http.request(url, { method, agent: this._agent, headers: { ...headers, ...length } }));
    } catch (error) {
      return fail({ kind: 'invalidRequest', message: String(error), mayHaveRun: false });
    }
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._agent.destroy();
    return Promise.resolve();
  }
}

function parseResponse(response: BytesResponse): Outcome<JsonResponse, HttpFailure> {
  try {
    const text = response.body.toString('utf8');
    const body: unknown = text === '' ? undefined : JSON.parse(text);
    return succeed({ status: response.status, headers: response.headers, body });
  } catch (error) {
    return fail({ kind: 'invalidBody', message: String(error), mayHaveRun: true });
  }
}

/** Reads a whole body as text. Rejects if it is truncated or larger than the limit. */
export async function readBody(message: http.IncomingMessage, maximumBytes: number): Promise<string> {
  return (await readBytes(message, maximumBytes)).toString('utf8');
}

/** Reads the bytes of a whole body. Rejects and closes the connection if it is truncated or larger than the limit. */
export function readBytes(message: http.IncomingMessage, maximumBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const bytes = new ByteCollector();
    new PacedBody(message, (part) => {
      if (bytes.length + part.length > maximumBytes) {
        bytes.clear();
        reject(new BodyTooLargeError(maximumBytes));
        message.destroy();
      } else {
        bytes.append(part);
      }
    });
    message.on('error', reject);
    message.on('end', () => {
      if (message.complete) {
        resolve(bytes.take());
      }
    });
    message.on('close', () => {
      reject(new Error('message ended early'));
    });
  });
}

/** Thrown by `readBody` and `readBytes` for a body larger than the limit. */
export class BodyTooLargeError extends Error {
  public constructor(maximumBytes: number) {
    super(`body is larger than ${maximumBytes} bytes`);
  }
}
