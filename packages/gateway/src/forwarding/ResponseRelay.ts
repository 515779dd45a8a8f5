import type * as http from 'node:http';
import type { RequestCodec } from '../contracts/RequestCodec.js';
import { EventStreamBuffer } from './EventStreamBuffer.js';

/** Longest answer, bytes. A replica in trouble may send bytes without end. */
const maximumResponseBytes = 64 * 1024 * 1024;

/** What the relay tells the exchange. */
export interface RelayListener {
  /** More of the answer has come: bytes, or a whole event of a stream that may go on elsewhere. */
  onProgress(): void;
  /** The answer has been passed on whole. */
  onEnd(): void;
  onInterrupted(message: string): void;
}

/** How an answer is passed on. */
export interface RelayOptions {
  /** The stream may go on at another replica, so only whole events are passed on. */
  readonly resumable: boolean;
  /** Asked at the end of the body: true if it is whole. */
  readonly isComplete: () => boolean;
}

/** Passes replicas' answers on to one caller. The head goes with the first bytes of the body. */
export class ResponseRelay {
  private _upstream: http.IncomingMessage | undefined;
  private _pendingHead: http.IncomingMessage | undefined;
  private _eventBuffer: EventStreamBuffer | undefined;
  private _headSent = false;
  private _receivedBytes = 0;

  public constructor(
    private readonly _response: http.ServerResponse,
    private readonly _codec: RequestCodec,
    private readonly _closesConnection: () => boolean,
    private readonly _listener: RelayListener,
  ) {}

  /** True once the caller has the head of a replica's answer. */
  public get headSent(): boolean {
    return this._headSent;
  }

  /** Last whole event that was passed on. */
  public get lastEventId(): string | undefined {
    return this._eventBuffer?.lastEventId;
  }

  /** Passes an answer on; after the first one, only its events. */
  public start(upstream: http.IncomingMessage, options: RelayOptions): void {
    this._upstream = upstream;
    this._pendingHead = this._headSent ? undefined : upstream;
    if (options.resumable) {
      this._eventBuffer ??= new EventStreamBuffer();
    }
    upstream.on('data', (chunk: Buffer) => {
      this._forward(chunk, upstream);
    });
    upstream.on('end', () => {
      this._end(upstream, options.isComplete());
    });
    upstream.on('error', (error) => {
      this.interrupt(error.message);
    });
    upstream.on('close', () => {
      this.interrupt('the replica closed the connection');
    });
  }

  /** Ends the present answer as broken; nothing happens if it has ended already. */
  public interrupt(message: string): void {
    if (this._upstream !== undefined) {
      this.detach();
      this._listener.onInterrupted(message);
    }
  }

  /** Takes nothing more from the present answer. A partial event is dropped. */
  public detach(): void {
    this._upstream = undefined;
    this._eventBuffer?.dropPartial();
  }

  private _forward(chunk: Buffer, upstream: http.IncomingMessage): void {
    if (this._upstream !== upstream) {
      return;
    }
    this._receivedBytes += chunk.length;
    const bytes = this._eventBuffer === undefined ? chunk : this._eventBuffer.push(chunk);
    if (this._receivedBytes > maximumResponseBytes || this._eventBuffer?.isEventTooLong === true) {
      this.interrupt('the answer has no end');
      upstream.destroy();
      return;
    }
    if (bytes.length === 0) {
      return;
    }
    this._listener.onProgress();
    this._sendHead();
    if (!this._response.write(bytes)) {
      upstream.pause();
      this._response.once('drain', () => upstream.resume());
    }
  }

  private _end(upstream: http.IncomingMessage, isComplete: boolean): void {
    if (this._upstream !== upstream) {
      return;
    }
    if (!isComplete) {
      this.interrupt('the replica reset the connection');
      return;
    }
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
      this._response.shouldKeepAlive = this._response.shouldKeepAlive && !this._closesConnection();
      this._response.writeHead(head.statusCode ?? 502, head.statusMessage, this._codec.returnedHeaders(head));
    }
  }
}
