import type * as http from 'node:http';

const eventStreamType = 'text/event-stream';

/** True if a response has a length or chunks. One without either ends with its connection. */
export function isFramed({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Media type of a response, without parameters; undefined if it states none. */
export function mediaType({ headers }: http.IncomingMessage): string | undefined {
  return headers['content-type']?.split(';')[0]?.trim().toLowerCase();
}

/** True if a successful response is a stream of events, or does not state its type. */
export function mayBeEventStream(response: http.IncomingMessage): boolean {
  const type = mediaType(response);
  return response.statusCode === 200 && (type === undefined || type === eventStreamType);
}
