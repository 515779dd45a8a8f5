import type * as http from 'node:http';
import type { RequestCodec } from '../contracts/RequestCodec.js';

/** Maximum time for reading the rest of a request after its response, milliseconds. */
const discardTimeoutMs = 1_000;

/** Content of a response that the gateway generates itself. */
export interface LocalResponseContent {
  readonly status: number;
  readonly reason: string;
  readonly attemptId: string | undefined;
  /** Value of the Retry-After header, milliseconds. */
  readonly retryAfterMs: number | undefined;
  readonly closesConnection: boolean;
}

/** Sends a response that the gateway generates itself. */
export function sendLocalResponse(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  codec: RequestCodec,
  { status, reason, attemptId, retryAfterMs, closesConnection }: LocalResponseContent,
): void {
  const body = Buffer.from(`${reason}\n`);
  const headers = codec.localResponseHeaders(attemptId, retryAfterMs);
  response.shouldKeepAlive = response.shouldKeepAlive && !closesConnection;
  response.writeHead(status, [...headers, 'Content-Length', String(body.length)]);
  response.end(body);
  discardRequest(request);
}

/**
 * Reads and discards the rest of a request, since closing the connection before could reset it and lose the response.
 * After the time limit the connection is closed.
 */
function discardRequest(request: http.IncomingMessage): void {
  request.resume();
  if (!request.complete) {
    const timer = setTimeout(() => request.socket.destroy(), discardTimeoutMs);
    request.once('end', () => {
      clearTimeout(timer);
    });
  }
}
