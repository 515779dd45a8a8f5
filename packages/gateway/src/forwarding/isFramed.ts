import type * as http from 'node:http';

/** True if a response has a length or chunks. One without either ends with its connection. */
export function isFramed({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
