import type * as net from 'node:net';
import { notExecutedHead, signedHead } from './replicaScripts.js';

/** Time that a new connection holds a slot, milliseconds. */
const handshakeMs = 1;

interface Place {
  readonly durationMs: number;
  readonly onEnd: () => void;
}

/**
 * A replica with a few slots and a queue. It rejects a request on an established connection while the queue is full. A new
 * connection waits in the queue for a slot before its first request is read, also beyond the limit of the queue.
 */
export class QueueingReplica {
  private _running = 0;
  private _queue: Place[] = [];
  private readonly _established = new WeakSet<net.Socket>();

  public constructor(
    private readonly _slots: number,
    private readonly _queueLimit: number,
    private readonly _workMs: number,
  ) {}

  /** Receives the head of a request. */
  public readonly receive = (socket: net.Socket, head: string): void => {
    if (this._established.has(socket)) {
      this._receiveRequest(socket, head);
      return;
    }
    this._established.add(socket);
    this._enter({
      durationMs: handshakeMs,
      onEnd: () => {
        this._receiveRequest(socket, head);
      },
    });
  };

  private _receiveRequest(socket: net.Socket, head: string): void {
    const attempt = /x-attempt: (\S+)/.exec(head)?.[1] ?? '';
    if (this._running >= this._slots && this._queue.length >= this._queueLimit) {
      this._answer(socket, notExecutedHead, attempt);
      return;
    }
    this._enter({
      durationMs: this._workMs,
      onEnd: () => {
        this._answer(socket, signedHead, attempt);
      },
    });
  }

  private _enter(place: Place): void {
    if (this._running >= this._slots) {
      this._queue.push(place);
      return;
    }
    this._running += 1;
    setTimeout(() => {
      this._running -= 1;
      place.onEnd();
      const next = this._queue.shift();
      if (next !== undefined) {
        this._enter(next);
      }
    }, place.durationMs);
  }

  private _answer(socket: net.Socket, head: string, attempt: string): void {
    const load = `x-load: ${this._running},${this._queue.length},${this._slots}\r\n`;
    if (!socket.destroyed) {
      socket.write(`${head.replace('x-attempt: a1', `x-attempt: ${attempt}`)}${load}Content-Length: 0\r\n\r\n`);
    }
  }
}
