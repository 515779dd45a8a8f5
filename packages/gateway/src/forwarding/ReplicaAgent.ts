import * as common from '@jayhaven/common';
import type * as http from 'node:http';
import * as net from 'node:net';
import type * as stream from 'node:stream';
import type { Address } from '../Types.js';

/** Idle connections are closed after this time, well before replicas do, milliseconds. */
const maximumIdleMs = 4_000;
/** Margin by which an idle connection is closed before the replica's stated keep-alive timeout, milliseconds. */
const keepAliveMarginMs = 700;

/** Keeps connections to replicas open between requests. */
export class ReplicaAgent extends common.PacedAgent {
  public constructor() {
    super({ keepAlive: true, maxFreeSockets: 16 });
  }

  /** True if an idle connection to the address is kept. */
  public hasIdleConnection({ host, port }: Address): boolean {
    return (this.freeSockets[this.getName({ host, port })]?.length ?? 0) > 0;
  }

  /** Called by Node.js when a request has released its connection; false closes the connection. */
  public override keepSocketAlive(socket: stream.Duplex): boolean {
    if (!(socket instanceof net.Socket)) {
      return false;
    }
    const hint = keepAliveHintMs(socket);
    const idleMs = Math.min(maximumIdleMs, hint === undefined ? maximumIdleMs : hint - keepAliveMarginMs);
    if (idleMs <= 0 || !super.keepSocketAlive(socket)) {
      return false;
    }
    socket.setTimeout(idleMs);
    return true;
  }

  /** Called by Node.js before a request reuses an idle connection. */
  public override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    super.reuseSocket(socket, request);
    if (socket instanceof net.Socket) {
      socket.setTimeout(0);
    }
  }
}

function keepAliveHintMs(socket: net.Socket): number | undefined {
  const message = (socket as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
  const match = /timeout=(\d+)/.exec(String(message?.res?.headers['keep-alive'] ?? ''));
  return match === null ? undefined : Number(match[1]) * 1000;
}
