import * as http from 'node:http';
import * as net from 'node:net';
import * as common from '@jayhaven/common';
import { describeError } from './callerErrors.js';

/** Largest response of a plain service, bytes. */
const maximumResponseBytes = 8 * 1024 * 1024;
/** Connect timeout, milliseconds. */
const connectTimeoutMs = 1_000;

/** A call of a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path with its query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Limits of one attempt. */
export interface ServiceCallOptions {
  /** Time limit of the attempt after connecting, milliseconds. */
  readonly timeoutMs: number;
  /** Called when the connection is established, before anything is written. Returning false cancels the call. */
  readonly beforeWrite: () => boolean;
}

/** A complete response of a plain service. */
export interface ServiceResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/** How an attempt ended. */
export type ServiceAttemptEnd =
  | { readonly kind: 'answered'; readonly response: ServiceResponse }
  /** No byte of the request was written. */
  | { readonly kind: 'notConnected'; readonly reason: string }
  /** Bytes may have been written; the call may have been executed. */
  | { readonly kind: 'broken'; readonly reason: string };

/** Hop-by-hop headers, and headers that are set by this system. */
const omittedHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'content-length',
  'expect',
  'authorization',
  'x-request-id',
]);

/** Returns the headers to forward. */
export function forwardedHeaders(headers: http.IncomingHttpHeaders): Record<string, string> {
  const forwarded: Record<string, string> = {};
  const connectionHeaders = (headers.connection ?? '').toLowerCase().split(/[\s,]+/);
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !omittedHeaders.has(name) && !connectionHeaders.includes(name)) {
      forwarded[name] = Array.isArray(value) ? value.join(', ') : value;
    }
  }
  return forwarded;
}

/**
 * Calls a plain service once over a new connection. The service may close a keep-alive connection just as the request
 * is written, and then it is unknown whether the call was executed. On a new connection it is known what was written.
 */
export async function callService(
  target: common.TargetAddress,
  request: ServiceRequest,
  options: ServiceCallOptions,
): Promise<ServiceAttemptEnd> {
  const socket = await connect(target);
  if (typeof socket === 'string') {
    return { kind: 'notConnected', reason: socket };
  }
  if (!options.beforeWrite()) {
    socket.destroy();
    return { kind: 'notConnected', reason: 'the call was given up before it was sent' };
  }
  return exchange(socket, target, request, options.timeoutMs);
}

function connect(target: common.TargetAddress): Promise<net.Socket | string> {
  const separator = target.lastIndexOf(':');
  const host = target.slice(0, separator).replace(/^\[|\]$/g, '');
  return new Promise((resolve) => {
    const socket = net.connect({ host, port: Number(target.slice(separator + 1)), noDelay: true });
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
    }, connectTimeoutMs);
    socket.on('error', (error) => {
      clearTimeout(timer);
      resolve(describeError(error));
    });
    socket.once('connect', () => {
      clearTimeout(timer);
      resolve(socket);
    });
  });
}

function exchange(
  socket: net.Socket,
  target: common.TargetAddress,
  request: ServiceRequest,
  timeoutMs: number,
): Promise<ServiceAttemptEnd> {
  return new Promise((resolve) => {
    const outgoing = http.request({
      createConnection: () => socket,
      method: request.method,
      path: request.path,
      headers: { ...request.headers, host: target, connection: 'close', 'content-length': request.body.length },
    });
    const finish = (end: ServiceAttemptEnd): void => {
      clearTimeout(timer);
      resolve(end);
      outgoing.destroy();
    };
    const fail = (reason: string): void => {
      finish({ kind: 'broken', reason });
    };
    const timer = setTimeout(() => {
      fail(`no complete answer within ${Math.round(timeoutMs)} ms`);
    }, timeoutMs);
    outgoing.on('error', (error) => {
      fail(describeError(error));
    });
    // Without this listener Node.js closes the connection of a switch of protocols without any other event.
    outgoing.on('upgrade', (incoming) => {
      fail(`the answer has an invalid status ${incoming.statusCode ?? 0}`);
    });
    outgoing.on('response', (incoming) => {
      void readResponse(incoming).then(finish);
    });
    outgoing.end(request.body);
  });
}

/** Reads a complete response, or returns the reason why there is none. */
async function readResponse(incoming: http.IncomingMessage): Promise<ServiceAttemptEnd> {
  let body: Buffer;
  try {
    body = await common.readBytes(incoming, maximumResponseBytes);
  } catch (error) {
    return { kind: 'broken', reason: describeError(error) };
  }
  const fault = common.responseHeadFault(incoming);
  if (fault !== undefined) {
    return { kind: 'broken', reason: `the answer has an ${fault}` };
  }
  const status = incoming.statusCode ?? 0;
  const headers: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value !== undefined && !omittedHeaders.has(name)) {
      headers[name] = value;
    }
  }
  return { kind: 'answered', response: { status, headers, body } };
}
