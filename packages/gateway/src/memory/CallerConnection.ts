import type * as http from 'node:http';
import type * as net from 'node:net';
import { unreadResponseBytes } from './clientLimits.js';
import type { MemoryHolder } from './Types.js';

/** Memory of a connection without unread or unsent bytes: its socket, parser and their objects, bytes. */
export const connectionBytes = 10 * 1024;
/** Memory of a request in progress without its body, bytes. */
const requestBytes = 16 * 1024;

/** Time without progress after which an unread response counts with its buffers on both connections, milliseconds. */
const unreadAfterMs = 500;
/** Bytes received between two measurements that count as progress. Bodies and heads that trickle make none. */
const progressBytes = 256;

/** What a connection does, which decides in which order connections are closed when there are too many. */
export type ConnectionState = 'new' | 'serving' | 'idle';

/** A connection of a caller with the memory that it holds beside the bodies of its requests. */
export class CallerConnection implements MemoryHolder {
  public state: ConnectionState = 'new';
  private readonly _responses = new Set<http.ServerResponse>();
  private _heldBytes = connectionBytes;
  private _unsentBytes = 0;
  /** Bytes read up to the newest request, or to the end of its body. */
  private _parsedBytes = 0;
  /** Request whose response is closed while the rest of its body is discarded. */
  private _discarded: http.IncomingMessage | undefined;
  private _headBytes = 0;
  private _seenBytesRead = 0;
  private _seenBytesSent = 0;
  private _lastProgressMs: number;

  public constructor(
    public readonly socket: net.Socket,
    nowMs: number,
    private readonly _onRelease: (connection: CallerConnection) => void,
  ) {
    this._lastProgressMs = nowMs;
  }

  /** Requests whose response is not yet complete. */
  public get requestCount(): number {
    return this._responses.size;
  }

  public get heldBytes(): number {
    return this._heldBytes;
  }

  /** Bytes of a head whose end has not been received. */
  public get headBytes(): number {
    return this._headBytes;
  }

  public get isReleasable(): boolean {
    return this.state !== 'serving' || this._unsentBytes > 0;
  }

  /** True if a request in progress cannot run yet, as its body is incomplete, or if its response is not read. */
  public get isStoppable(): boolean {
    return this._unsentBytes > 0 || [...this._responses].every(({ req }) => !req.complete);
  }

  public stalledMs(nowMs: number): number {
    return nowMs - this._lastProgressMs;
  }

  public release(): void {
    this._onRelease(this);
  }

  public beginRequest(response: http.ServerResponse, nowMs: number): void {
    this._responses.add(response);
    this._parsedBytes = this.socket.bytesRead;
    this._headBytes = 0;
    this._lastProgressMs = nowMs;
  }

  public endRequest(response: http.ServerResponse, nowMs: number): void {
    this._responses.delete(response);
    this._discarded = response.req.complete ? undefined : response.req;
    this._parsedBytes = this.socket.bytesRead;
    this._lastProgressMs = nowMs;
  }

  /** Closes the responses of pipelined requests after the connection has been closed. */
  public closeResponses(): void {
    for (const response of this._responses) {
      response.emit('close');
    }
  }

  /** Measures what the connection holds. Returns the change, bytes. */
  public measure(nowMs: number): number {
    const { bytesRead, bytesWritten, writableLength } = this.socket;
    if (this._responses.size > 0 || this._discarded !== undefined) {
      // What is read meanwhile are bodies. They are counted where they are kept.
      this._parsedBytes = bytesRead;
      this._discarded = this._discarded?.complete === false ? this._discarded : undefined;
    }
    this._headBytes = bytesRead - this._parsedBytes;
    this._unsentBytes = this._responses.size === 0 ? writableLength : this._responseBytes();
    const bytesSent = bytesWritten - writableLength;
    const received = this._unsentBytes === 0 ? bytesRead - this._seenBytesRead : 0;
    if (bytesSent !== this._seenBytesSent || received >= progressBytes) {
      this._lastProgressMs = nowMs;
    }
    this._seenBytesSent = bytesSent;
    this._seenBytesRead = bytesRead;
    const isUnread = this._unsentBytes > 0 && this.stalledMs(nowMs) >= unreadAfterMs;
    const requestsBytes = Math.max(this._responses.size * requestBytes, isUnread ? unreadResponseBytes : 0);
    const heldBytes = connectionBytes + this._headBytes + this._unsentBytes + requestsBytes;
    const change = heldBytes - this._heldBytes;
    this._heldBytes = heldBytes;
    return change;
  }

  private _responseBytes(): number {
    let bytes = 0;
    for (const response of this._responses) {
      bytes += response.writableLength;
    }
    return bytes;
  }
}
