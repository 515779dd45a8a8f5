import type * as net from 'node:net';
import type { PeerTraffic } from './Types.js';

/** Counts the bytes on the sockets between daemons, HTTP headers included. */
export class TrafficCounter {
  private readonly _sockets = new Set<net.Socket>();
  private _closedSent = 0;
  private _closedReceived = 0;

  /** Counts all bytes of a socket. Further calls for the same socket have no effect. */
  public add(socket: net.Socket): void {
    if (this._sockets.has(socket)) {
      return;
    }
    this._sockets.add(socket);
    socket.once('close', () => {
      this._sockets.delete(socket);
      this._closedSent += socket.bytesWritten;
      this._closedReceived += socket.bytesRead;
    });
  }

  public get total(): PeerTraffic {
    let sentBytes = this._closedSent;
    let receivedBytes = this._closedReceived;
    for (const socket of this._sockets) {
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    }
    return { sentBytes, receivedBytes };
  }
}
