import type { LocalResponse } from './admitRequest.js';
import type { BodyOutcome } from './readBody.js';

/** Time after which a caller may send a body again for which there was no memory, milliseconds. */
const retryAfterMs = 1_000;

/**
 * Response to a request whose body is not read; undefined if its connection has broken. The request has not run, since it is
 * sent to a replica only with its whole body.
 */
export function bodyRefusalResponse(outcome: Exclude<BodyOutcome, Buffer>): LocalResponse | undefined {
  switch (outcome) {
    case 'tooLarge':
      return { status: 413, outcome: 'invalidRequest', reason: 'body is larger than the operators allow' };
    case 'stalled':
      return { status: 408, outcome: 'refused', reason: 'body stalled while other requests needed its memory' };
    case 'noMemory':
      return { status: 503, outcome: 'refused', reason: 'there is no memory for the body', retryAfterMs };
    case 'broken':
      return undefined;
  }
}
