import type * as http from 'node:http';
import * as common from '@jayhaven/common';
import { notExecuted } from '../routing/callerErrors.js';
import type { CallerError } from '../routing/Types.js';
import type { DrainEnd } from './DrainEnd.js';

/** Limit of buffered request bodies, bytes. The process has 128 MB; more would leave too little for responses. */
const maximumBufferedBytes = 48 * 1024 * 1024;
/** Share of this limit that one partner may use, so that other partners can always send requests. */
const maximumPartnerShare = 0.75;
/** Bytes discarded after a refusal before the connection is closed, as a multiple of the body limit. */
const discardFactor = 4;
/** Time to receive a body, milliseconds. */
const bodyTimeoutMs = 15_000;

/** Reads complete request bodies, with limits on size, time and total memory. */
export class BodyReader {
  private _bufferedBytes = 0;
  private readonly _bufferedBytesByPartner = new Map<common.PartnerName, number>();

  public constructor(
    private readonly _maximumBytes: number,
    private readonly _timeoutMs: number = bodyTimeoutMs,
    private readonly _totalBytesLimit: number = maximumBufferedBytes,
  ) {}

  /** Bytes of all buffered bodies. */
  public get bufferedBytes(): number {
    return this._bufferedBytes;
  }

  /** Reads a body. Its bytes count as buffered for the partner until `release` is called with the same number. */
  public read(
    incoming: http.IncomingMessage,
    partner: common.PartnerName,
    deadlineMs = Infinity,
    drainEnd?: DrainEnd,
  ): Promise<common.Outcome<Buffer, CallerError>> {
    const declaredBytes = Number(incoming.headers['content-length'] ?? 0);
    if (declaredBytes > this._maximumBytes) {
      this.discard(incoming);
      return Promise.resolve(common.fail(this._tooLarge()));
    }
    const timeoutMs = Math.min(this._timeoutMs, deadlineMs);
    return new Promise((resolve) => {
      const body = new common.ByteCollector();
      let size = 0;
      const finish = (outcome: common.Outcome<Buffer, CallerError>): void => {
        clearTimeout(timer);
        unsubscribe?.();
        incoming.off('data', onData).off('end', onEnd).off('close', onClose);
        if (!outcome.ok) {
          this.release(partner, size);
          this.discard(incoming);
        }
        resolve(outcome);
      };
      const onData = (chunk: Buffer): void => {
        size += chunk.length;
        this._addBufferedBytes(partner, chunk.length);
        if (size > this._maximumBytes) {
          finish(common.fail(this._tooLarge()));
        } else if (!this._fits(partner)) {
          finish(common.fail(notExecuted(503, 'overloaded', 'too many request bodies are in progress', 1_000)));
        } else {
          body.append(chunk);
        }
      };
      const onEnd = (): void => {
        finish(common.succeed(body.take()));
      };
      const onClose = (): void => {
        finish(common.fail(notExecuted(400, 'incomplete_body', 'the connection closed before the body was complete')));
      };
      const timer = setTimeout(() => {
        finish(
          common.fail(notExecuted(408, 'body_timeout', `the body was not complete within ${timeoutMs} ms`, 1_000)),
        );
      }, timeoutMs);
      const unsubscribe = drainEnd?.onReached(() => {
        finish(common.fail(drainEnd.error('no')));
      });
      incoming.on('data', onData).on('end', onEnd).on('close', onClose);
      incoming.on('error', () => undefined);
    });
  }

  /** Releases buffered bytes of a partner. */
  public release(partner: common.PartnerName, bytes: number): void {
    this._addBufferedBytes(partner, -bytes);
  }

  private _addBufferedBytes(partner: common.PartnerName, bytes: number): void {
    this._bufferedBytes += bytes;
    this._bufferedBytesByPartner.set(partner, (this._bufferedBytesByPartner.get(partner) ?? 0) + bytes);
  }

  private _fits(partner: common.PartnerName): boolean {
    const partnerBytes = this._bufferedBytesByPartner.get(partner) ?? 0;
    return this._bufferedBytes <= this._totalBytesLimit && partnerBytes <= this._totalBytesLimit * maximumPartnerShare;
  }

  private _tooLarge(): CallerError {
    return notExecuted(413, 'body_too_large', `the body is larger than ${this._maximumBytes} bytes`);
  }

  /** Discards the rest of the body, so that the caller can read the response; closes the connection on excess data. */
  public discard(incoming: http.IncomingMessage): void {
    let discarded = 0;
    incoming.on('data', (chunk: Buffer) => {
      discarded += chunk.length;
      if (discarded > discardFactor * this._maximumBytes) {
        incoming.destroy();
      }
    });
    incoming.resume();
  }
}
