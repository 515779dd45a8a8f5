import * as http from 'node:http';
import * as common from '@jayhaven/common';
import { describeError } from './callerErrors.js';
import { StreamChecker } from './StreamChecker.js';
import type { AttemptEnd } from './Types.js';

/** Largest response that is buffered until it is complete, bytes. */
const maximumResponseBytes = 8 * 1024 * 1024;
/** Largest error response of an engine, bytes. */
const maximumErrorBytes = 64 * 1024;
/** Connect timeout, milliseconds. Round trips inside a region take at most a few milliseconds. */
const connectTimeoutMs = 1_000;
/** Retry delay after an engine refused a request as overloaded without `Retry-After`, milliseconds. */
const overloadedRetryMs = 200;

/** One request to one engine. */
export interface AttemptRequest {
  readonly target: common.TargetAddress;
  readonly path: string;
  /** A string, because it is sent together with the headers in one write; a buffer would need a second write. */
  readonly body: string;
  readonly urgency: common.Urgency;
  /** Request id sent to the engine, unique for this attempt. */
  readonly engineRequestId: string;
  /** Request id sent to the caller. */
  readonly callerRequestId: string;
  readonly stream: boolean;
  /** Index of the first token to request. */
  readonly resumeFrom: number;
  /** Forwards checked events. Returns false to pause the stream until `resume` is called. */
  readonly write: (text: string) => boolean;
}

/** One attempt to run a request on one engine. The response is matched by its connection and by the echoed id. */
export class EngineAttempt {
  private readonly _checker: StreamChecker;
  private _outgoing: http.ClientRequest | undefined;
  private _response: http.IncomingMessage | undefined;
  private _body: common.PacedBody | undefined;
  private _executed: common.Executed = 'no';
  private _resolve: (end: AttemptEnd) => void = () => undefined;
  private _ended = false;
  private _lastReceivedMs: number;

  public constructor(
    private readonly _request: AttemptRequest,
    private readonly _agent: http.Agent,
    private readonly _now: () => number,
  ) {
    this._lastReceivedMs = _now();
    this._checker = new StreamChecker(_request.engineRequestId, _request.callerRequestId, _request.resumeFrom);
  }

  /** Whether the engine has executed the request so far. */
  public get executed(): common.Executed {
    return this._executed;
  }

  /** Monotonic time at which data was last received from the target, or at which the attempt began or was resumed. */
  public get lastReceivedMs(): number {
    return this._lastReceivedMs;
  }

  /** Index of the next token to deliver. */
  public get nextIndex(): number {
    return this._checker.nextIndex;
  }

  /** Sends the request and resolves when the attempt has ended. */
  public run(): Promise<AttemptEnd> {
    return new Promise((resolve) => {
      this._resolve = resolve;
      const { target, path, body, engineRequestId, urgency } = this._request;
      const separator = target.lastIndexOf(':');
      const outgoing = http.request({
        host: target.slice(0, separator).replace(/^\[|\]$/g, ''),
        port: Number(target.slice(separator + 1)),
        path,
        method: 'POST',
        agent: this._agent,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          'x-request-id': engineRequestId,
          'x-priority': urgency,
        },
      });
      this._outgoing = outgoing;
      this._trackConnection(outgoing);
      outgoing.on('error', (error) => {
        if (outgoing.reusedSocket && !this._response) {
          this._end({ kind: 'staleConnection' }, true);
        } else {
          this._fail(describeError(error));
        }
      });
      // Without this listener Node.js closes the connection of a switch of protocols without any other event.
      outgoing.on('upgrade', (response) => {
        this._fail(`the engine answered ${response.statusCode ?? 0}`);
      });
      outgoing.on('response', (response) => {
        this._handleResponse(response);
      });
      outgoing.end(body);
    });
  }

  /** Cancels the attempt by closing its connection, which stops the engine's work on it. */
  public cancel(): void {
    this._end({ kind: 'cancelled' }, true);
  }

  /** Ends the attempt as failed. */
  public abort(reason: string): void {
    this._fail(reason);
  }

  /** Continues after a pause. */
  public resume(): void {
    this._lastReceivedMs = this._now();
    this._body?.resume();
  }

  private _trackConnection(outgoing: http.ClientRequest): void {
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        this._executed = 'unknown';
        return;
      }
      const timer = setTimeout(() => {
        this._fail(`no connection within ${connectTimeoutMs} ms`);
      }, connectTimeoutMs);
      socket.once('connect', () => {
        clearTimeout(timer);
        this._executed = 'unknown';
      });
      socket.once('close', () => {
        clearTimeout(timer);
      });
    });
  }

  private _handleResponse(response: http.IncomingMessage): void {
    this._response = response;
    this._lastReceivedMs = this._now();
    const fault = common.statusFault(response);
    if (fault !== undefined) {
      this._fail(`the answer has an ${fault}`);
      return;
    }
    const status = response.statusCode ?? 0;
    if (status !== 200) {
      this._readBody(response, maximumErrorBytes, (body) => {
        if (this._isForeign(response, body)) {
          this._fail('foreignAnswer');
        } else {
          this._end(this._classify(status, response, body), false);
        }
      });
      return;
    }
    this._executed = 'yes';
    if (this._request.stream) {
      this._handleStream(response);
    } else {
      this._readBody(response, maximumResponseBytes, (body) => {
        this._handleCompleteBody(body);
      });
    }
  }

  private _handleStream(response: http.IncomingMessage): void {
    const body = new common.PacedBody(response, (part) => {
      if (this._ended) {
        return;
      }
      this._lastReceivedMs = this._now();
      const checked = this._checker.push(part);
      if (checked.text !== '' && !this._request.write(checked.text)) {
        body.pause();
      }
      if (checked.fault) {
        this._fail(checked.fault);
      } else if (this._checker.done) {
        this._end({ kind: 'complete' }, false);
      }
    });
    this._body = body;
    response.on('error', () => undefined);
    response.on('close', () => {
      this._fail('the stream ended before its end marker');
    });
  }

  private _readBody(response: http.IncomingMessage, maximumBytes: number, onBody: (body: string) => void): void {
    const bytes = new common.ByteCollector();
    this._body = new common.PacedBody(response, (part) => {
      if (this._ended) {
        return;
      }
      bytes.append(part);
      if (bytes.length > maximumBytes) {
        this._fail(`the answer is larger than ${maximumBytes} bytes`);
      }
    });
    response.on('end', () => {
      if (response.complete && !this._ended) {
        onBody(bytes.take().toString('utf8'));
      }
    });
    response.on('error', () => undefined);
    response.on('close', () => {
      this._fail('the connection broke before the answer was complete');
    });
  }

  /** Accepts a complete response if its id is that of this attempt. */
  private _handleCompleteBody(body: string): void {
    const { engineRequestId, callerRequestId } = this._request;
    const expectedStart = `{"id":"${engineRequestId}"`;
    if (body.startsWith(expectedStart) && body.endsWith('}')) {
      this._end({ kind: 'complete', body: `{"id":"${callerRequestId}"${body.slice(expectedStart.length)}` }, false);
      return;
    }
    try {
      const json: unknown = JSON.parse(body);
      if (typeof json === 'object' && json !== null && 'id' in json && json.id === engineRequestId) {
        this._end({ kind: 'complete', body: JSON.stringify({ ...json, id: callerRequestId }) }, false);
        return;
      }
    } catch {
      this._fail('malformed');
      return;
    }
    this._fail('foreignAnswer');
  }

  /** True if an error names another request. Engines that name none in errors are told apart by the connection alone. */
  private _isForeign(response: http.IncomingMessage, body: string): boolean {
    const id = response.headers['x-request-id'] ?? readId(body);
    return id !== undefined && id !== this._request.engineRequestId;
  }

  private _classify(status: number, response: http.IncomingMessage, body: string): AttemptEnd {
    if (status === 404 || status === 503 || status === 429) {
      this._executed = 'no';
      const seconds = Number(response.headers['retry-after'] ?? 0);
      const retryAfterMs = seconds > 0 ? seconds * 1_000 : overloadedRetryMs;
      return { kind: 'notRun', type: status === 404 ? 'model_not_loaded' : 'overloaded', retryAfterMs };
    }
    if (status >= 400 && status < 500) {
      this._executed = 'no';
      return { kind: 'rejected', status, message: readErrorMessage(body) };
    }
    return { kind: 'serverError', reason: `the engine answered ${status}` };
  }

  private _fail(reason: string): void {
    if (reason === 'foreignAnswer') {
      this._executed = 'unknown';
    }
    this._end({ kind: 'failed', reason }, true);
  }

  private _end(end: AttemptEnd, closeConnection: boolean): void {
    if (this._ended) {
      return;
    }
    this._ended = true;
    if (closeConnection) {
      this._outgoing?.destroy();
    } else {
      this._body?.resume();
    }
    this._resolve(end);
  }
}

function readId(body: string): unknown {
  try {
    return (JSON.parse(body) as { readonly id?: unknown } | null)?.id;
  } catch {
    return undefined;
  }
}

function readErrorMessage(body: string): string {
  try {
    const json = JSON.parse(body) as { readonly error?: { readonly message?: unknown } };
    const message = json.error?.message;
    return typeof message === 'string' ? message.slice(0, 500) : 'the engine refused the request';
  } catch {
    return 'the engine refused the request';
  }
}
