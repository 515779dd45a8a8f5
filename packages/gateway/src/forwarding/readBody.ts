import type * as http from 'node:http';

/** Reads the body of a request; `tooLarge` once it exceeds the limit, `broken` if it ends before it is complete. */
export function readBody(
  request: http.IncomingMessage,
  maximumBytes: number,
  onEnd: (outcome: Buffer | 'tooLarge' | 'broken') => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let ended = false;
  const finish = (outcome: Buffer | 'tooLarge' | 'broken'): void => {
    if (!ended) {
      ended = true;
      onEnd(outcome);
    }
  };
  request.on('data', (chunk: Buffer) => {
    size += chunk.length;
    if (size > maximumBytes) {
      chunks.length = 0;
      finish('tooLarge');
    } else if (!ended) {
      chunks.push(chunk);
    }
  });
  request.on('end', () => {
    finish(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
  });
  request.on('error', () => {
    finish('broken');
  });
  request.on('close', () => {
    finish('broken');
  });
}
