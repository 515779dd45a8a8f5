import * as common from '@jayhaven/common';
import type * as http from 'node:http';
import type { BodyRefusal, BodyReservation } from '../memory/BodyReservation.js';
import type { CallerMemory } from '../memory/CallerMemory.js';

/** Bytes that are reserved beyond those received: one read of a connection. */
const readAheadBytes = 64 * 1024;
/** Memory that a part of a body takes in addition to its bytes. */
const partOverheadBytes = 256;

/** The body, or why there is none: `broken` if the connection ended before it was complete. */
export type BodyOutcome = Buffer | 'tooLarge' | 'broken' | BodyRefusal;

/** Limits for bodies. */
export interface BodyLimits {
  readonly maximumBytes: number;
  readonly memory: CallerMemory;
}

/** Reads the body of a request as far as there is memory for it. The memory is given back when the response is closed. */
export function readBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  limits: BodyLimits,
  onEnd: (outcome: BodyOutcome) => void,
): void {
  const announcedBytes = Number(request.headers['content-length'] ?? 0);
  if (announcedBytes > limits.maximumBytes) {
    limits.memory.recordTooLarge();
    onEnd('tooLarge');
  } else if (announcedBytes === 0 && request.headers['transfer-encoding'] === undefined) {
    readEmptyBody(request, onEnd);
  } else {
    const longestBytes = announcedBytes > 0 ? announcedBytes : limits.maximumBytes;
    new BodyReader(request, response, longestBytes, limits, onEnd);
  }
}

function readEmptyBody(request: http.IncomingMessage, onEnd: (outcome: BodyOutcome) => void): void {
  let ended = false;
  const finish = (outcome: BodyOutcome): void => {
    if (!ended) {
      ended = true;
      onEnd(outcome);
    }
  };
  request.resume();
  request.on('end', () => {
    finish(Buffer.alloc(0));
  });
  request.on('error', () => {
    finish('broken');
  });
  request.on('close', () => {
    finish('broken');
  });
}

class BodyReader {
  private _parts: Buffer[] = [];
  private _length = 0;
  private _heldBytes = 0;
  private _ended = false;
  private readonly _reservation: BodyReservation;
  private readonly _body: common.PacedBody;

  public constructor(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    private readonly _longestBytes: number,
    private readonly _limits: BodyLimits,
    private readonly _onEnd: (outcome: BodyOutcome) => void,
  ) {
    this._reservation = _limits.memory.openBody({
      onGranted: () => {
        this._body.resume();
      },
      onRefused: (refusal) => {
        this._finish(refusal);
      },
    });
    this._body = new common.PacedBody(request, (part) => {
      this._receive(part);
    });
    response.once('close', () => {
      this._reservation.end();
      // A request that is answered before its body is complete needs no more of it.
      this._finish('broken');
    });
    request.on('end', () => {
      this._complete();
    });
    request.on('error', () => {
      this._finish('broken');
    });
    request.on('close', () => {
      this._finish('broken');
    });
    this._reserveAhead();
  }

  private _receive(part: Buffer): void {
    if (this._ended) {
      return;
    }
    this._length += part.length;
    if (this._length > this._limits.maximumBytes) {
      this._limits.memory.recordTooLarge();
      this._finish('tooLarge');
      return;
    }
    this._parts.push(part);
    this._heldBytes += part.length + partOverheadBytes;
    this._reservation.recordReceived(part.length);
    if (this._heldBytes > this._reservation.heldBytes) {
      this._reserveAhead();
    }
  }

  /** Reserves memory for the next read of the connection, and pauses the body without it. */
  private _reserveAhead(): void {
    const leftBytes = this._longestBytes - this._length;
    if (!this._reservation.reserve(this._heldBytes + Math.min(leftBytes + partOverheadBytes, readAheadBytes))) {
      this._body.pause();
    }
  }

  private _complete(): void {
    if (this._ended) {
      return;
    }
    const [first] = this._parts;
    const body = this._parts.length === 1 && first !== undefined ? first : Buffer.concat(this._parts, this._length);
    this._reservation.complete(body.length);
    this._finish(body);
  }

  private _finish(outcome: BodyOutcome): void {
    if (!this._ended) {
      this._ended = true;
      this._parts = [];
      if (!Buffer.isBuffer(outcome)) {
        this._reservation.end();
        // What is left of the request is discarded.
        this._body.resume();
      }
      this._onEnd(outcome);
    }
  }
}
