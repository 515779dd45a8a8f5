import * as common from '@jayhaven/common';
import type * as http from 'node:http';

/** Maximum size of a body that is read to keep its connection open, bytes. */
const maximumDiscardedBytes = 64 * 1024;
/** Maximum time for reading such a body, milliseconds. */
const discardTimeoutMs = 1_000;

/**
 * Reads and discards the rest of an unused response, so that its connection can be reused. If the body is too long or
 * takes too long, the connection is closed instead.
 */
export function discardBody(response: http.IncomingMessage): void {
  let leftBytes = maximumDiscardedBytes;
  const timer = setTimeout(() => response.destroy(), discardTimeoutMs);
  new common.PacedBody(response, (part) => {
    leftBytes -= part.length;
    if (leftBytes < 0) {
      response.destroy();
    }
  });
  // The attempt has already ended, so an error of its connection has no effect.
  response.on('error', () => undefined);
  response.once('close', () => {
    clearTimeout(timer);
  });
}
