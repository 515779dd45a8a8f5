import * as common from '@jayhaven/common';
import type * as http from 'node:http';
import type { RequestCodec } from '../contracts/RequestCodec.js';
import { EventStreamBuffer } from './EventStreamBuffer.js';
import { mediaType } from './responseHeaders.js';

/** Maximum size of a response, bytes. A faulty replica may send bytes endlessly. */
const maximumResponseBytes = 64 * 1024 * 1024;

/** Receives the events of a relay. */
export interface RelayListener {
  /** More of the response has arrived: a complete event of a stream, bytes otherwise. */
  onProgress(): void;
  /** The response has been relayed completely. */
  onEnd(): void;
  onInterrupted(message: string): void;
}

/** Options for relaying one response. */
export interface RelayOptions {
  /** The response is a stream of events, of which only complete ones are relayed. */
  readonly isEventStream: boolean;
  /** The response has a length or chunks; otherwise it ends with its connection. */
  readonly isFramed: boolean;
  /** Called before the first events are passed on to the caller; they wait until `release` is called. */
  readonly beforeFirstEvent: (release: () => void) => void;
  /** Called at the end of the body; returns true if the body is complete. */
  readonly isComplete: () => boolean;
}

/** First events of a stream that wait to be passed on, also over several responses of replicas. */
interface HeldEvents {
  readonly parts: Buffer[];
  /** Body of the current response; undefined while there is none. */
  body: common.PacedBody | undefined;
  /** True once the stream is complete. */
  isComplete: boolean;
}

/** Relays responses of replicas to one caller. The head is sent together with the first bytes of the body. */
export class ResponseRelay {
  private _upstream: http.IncomingMessage | undefined;
  private _pendingHead: http.IncomingMessage | undefined;
  private _eventBuffer: EventStreamBuffer | undefined;
  private _headSent = false;
  /** Media type of the response whose head was sent. */
  private _sentMediaType: string | undefined;
  private _receivedBytes = 0;
  /** First events that wait to be passed on; undefined if none do. */
  private _held: HeldEvents | undefined;
  /** Complete events before the current response. */
  private _earlierEvents = 0;

  public constructor(
    private readonly _response: http.ServerResponse,
    private readonly _codec: RequestCodec,
    private readonly _closesConnection: () => boolean,
    private readonly _listener: RelayListener,
  ) {}

  /** True once the head of a replica's response has been sent to the caller. */
  public get headSent(): boolean {
    return this._headSent;
  }

  /** True once events of a stream have come, of which the caller may have got none yet. A further response continues them. */
  public get hasBegun(): boolean {
    return this._headSent || this._held !== undefined;
  }

  /** Bytes received of the responses. */
  public get receivedBytes(): number {
    return this._receivedBytes;
  }

  /** Complete events of the current response. */
  public get completeEvents(): number {
    return (this._eventBuffer?.completeEvents ?? 0) - this._earlierEvents;
  }

  /** Identifier of the last complete event that was relayed. */
  public get lastEventId(): string | undefined {
    return this._eventBuffer?.lastEventId;
  }

  /** Relays a response. Once a stream has begun, only the body of a further response is relayed. */
  public start(upstream: http.IncomingMessage, options: RelayOptions): void {
    this._upstream = upstream;
    if (!this.hasBegun) {
      this._pendingHead = upstream;
    }
    if (options.isEventStream) {
      this._eventBuffer ??= new EventStreamBuffer();
    }
    this._earlierEvents = this._eventBuffer?.completeEvents ?? 0;
    const body = new common.PacedBody(upstream, (chunk) => {
      this._forward(chunk, upstream, body, options);
    });
    upstream.on('end', () => {
      this._end(upstream, options.isComplete() && (options.isFramed || !this._isInsideEvent));
    });
    upstream.on('error', (error) => {
      this.interrupt(error.message);
    });
    upstream.on('close', () => {
      this.interrupt('the replica closed the connection');
    });
  }

  /** True if a response can continue the stream that has begun; an error or another content cannot. */
  public canContinueWith(upstream: http.IncomingMessage): boolean {
    const begun = this._pendingHead === undefined ? this._sentMediaType : mediaType(this._pendingHead);
    return upstream.statusCode === 200 && mediaType(upstream) === begun;
  }

  /** Ends the current response as interrupted; has no effect if it has already ended. */
  public interrupt(message: string): void {
    if (this._upstream !== undefined && this._held?.isComplete !== true) {
      this.detach();
      this._listener.onInterrupted(message);
    }
  }

  /** Stops relaying the current response and drops a partial event. Events that wait to be passed on are kept. */
  public detach(): void {
    if (this._held !== undefined) {
      this._held.body = undefined;
    }
    this._upstream = undefined;
    this._eventBuffer?.dropPartial();
  }

  /** Drops the events that wait to be passed on, as the request gets another response. */
  public dropHeld(): void {
    this._held = undefined;
  }

  /** True if the stream has stopped between two empty lines. An answer without a frame is then not complete. */
  private get _isInsideEvent(): boolean {
    return this._eventBuffer?.isInsideEvent === true;
  }

  private _forward(
    chunk: Buffer,
    upstream: http.IncomingMessage,
    body: common.PacedBody,
    { isEventStream, beforeFirstEvent }: RelayOptions,
  ): void {
    if (this._upstream !== upstream) {
      return;
    }
    this._receivedBytes += chunk.length;
    const bytes = this._eventBuffer === undefined ? chunk : this._eventBuffer.push(chunk);
    const fault = this._bodyFault();
    if (fault !== undefined) {
      this.interrupt(fault);
      upstream.destroy();
      return;
    }
    if (bytes.length === 0) {
      return;
    }
    this._listener.onProgress();
    if (isEventStream && !this._headSent) {
      this._hold(bytes, body, beforeFirstEvent);
    } else {
      this._write(bytes, body);
    }
  }

  /** Passes the first events on once they are released. What arrives meanwhile follows them. */
  private _hold(bytes: Buffer, body: common.PacedBody, beforeFirstEvent: RelayOptions['beforeFirstEvent']): void {
    if (this._held !== undefined) {
      this._held.parts.push(bytes);
      this._held.body = body;
      body.pause();
      return;
    }
    const held: HeldEvents = { parts: [bytes], body, isComplete: false };
    this._held = held;
    beforeFirstEvent(() => {
      if (this._held === held) {
        this._releaseHeld();
      }
    });
    if (this._held === held) {
      body.pause();
    }
  }

  private _releaseHeld(): void {
    const held = this._held;
    this._held = undefined;
    if (held === undefined) {
      return;
    }
    held.body?.resume();
    this._write(Buffer.concat(held.parts), held.body);
    if (held.isComplete) {
      this._complete();
    }
  }

  private _write(bytes: Buffer, body: common.PacedBody | undefined): void {
    this._sendHead();
    if (!this._response.write(bytes)) {
      body?.pause();
      this._response.once('drain', () => {
        body?.resume();
      });
    }
  }

  /** Returns why the bytes received so far cannot be the body of a sound response; undefined if they can. */
  private _bodyFault(): string | undefined {
    if (this._receivedBytes > maximumResponseBytes || this._eventBuffer?.isEventTooLong === true) {
      return 'the answer has no end';
    }
    return this._eventBuffer?.hasInvalidId === true ? 'an event has an invalid identifier' : undefined;
  }

  private _end(upstream: http.IncomingMessage, isComplete: boolean): void {
    if (this._upstream !== upstream) {
      return;
    }
    if (!isComplete) {
      this.interrupt('the answer was cut off');
      return;
    }
    if (this._held === undefined) {
      this._complete();
    } else {
      this._held.isComplete = true;
    }
  }

  private _complete(): void {
    this._upstream = undefined;
    this._sendHead();
    this._response.end(this._eventBuffer?.flush());
    this._listener.onEnd();
  }

  private _sendHead(): void {
    const head = this._pendingHead;
    this._pendingHead = undefined;
    if (head !== undefined) {
      this._headSent = true;
      this._sentMediaType = mediaType(head);
      this._response.shouldKeepAlive = this._response.shouldKeepAlive && !this._closesConnection();
      this._response.writeHead(head.statusCode ?? 502, head.statusMessage, this._codec.returnedHeaders(head));
    }
  }
}
