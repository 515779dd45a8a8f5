import * as common from '@jayhaven/common';
import type * as http from 'node:http';

/** Reads the body of a request; `tooLarge` once it exceeds the limit, `broken` if it ends before it is complete. */
export function readBody(
  request: http.IncomingMessage,
  maximumBytes: number,
  onEnd: (outcome: Buffer | 'tooLarge' | 'broken') => void,
): void {
  const body = new common.ByteCollector();
  let ended = false;
  const finish = (outcome: Buffer | 'tooLarge' | 'broken'): void => {
    if (!ended) {
      ended = true;
      onEnd(outcome);
    }
  };
  new common.PacedBody(request, (part) => {
    if (ended) {
      return;
    }
    if (body.length + part.length > maximumBytes) {
      body.clear();
      finish('tooLarge');
    } else {
      body.append(part);
    }
  });
  request.on('end', () => {
    finish(body.take());
  });
  request.on('error', () => {
    finish('broken');
  });
  request.on('close', () => {
    finish('broken');
  });
}
