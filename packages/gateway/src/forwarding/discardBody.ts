import type * as http from 'node:http';

/** Longest body that is read to keep its connection, bytes. */
const maximumDiscardedBytes = 64 * 1024;
/** Longest time that this may take, milliseconds. */
const discardTimeoutMs = 1_000;

/**
 * Reads the rest of an answer that nobody waits for, so that its connection can be used again. A body that is long, slow
 * or without end costs its connection instead.
 */
export function discardBody(response: http.IncomingMessage): void {
  let leftBytes = maximumDiscardedBytes;
  const timer = setTimeout(() => response.destroy(), discardTimeoutMs);
  response.on('data', (chunk: Buffer) => {
    leftBytes -= chunk.length;
    if (leftBytes < 0) {
      response.destroy();
    }
  });
  // The attempt has ended, so how its connection ends changes nothing.
  response.on('error', () => undefined);
  response.once('close', () => {
    clearTimeout(timer);
  });
}
