import type * as http from 'node:http';
import type { RequestCodec } from '../contracts/RequestCodec.js';

/** Longest time that the rest of a request is read after its answer, milliseconds. */
const discardTimeoutMs = 1_000;

/** An answer of the gateway's own to a caller. */
export interface LocalResponseContent {
  readonly status: number;
  readonly reason: string;
  readonly attemptId: string | undefined;
  /** Time to come back, milliseconds. */
  readonly retryAfterMs: number | undefined;
  readonly closesConnection: boolean;
}

/** Sends an answer of the gateway's own. */
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

/** Reads the rest of a request, so that its answer is not lost to a reset; one without end loses its connection. */
function discardRequest(request: http.IncomingMessage): void {
  request.resume();
  if (!request.complete) {
    const timer = setTimeout(() => request.socket.destroy(), discardTimeoutMs);
    request.once('end', () => {
      clearTimeout(timer);
    });
  }
}
