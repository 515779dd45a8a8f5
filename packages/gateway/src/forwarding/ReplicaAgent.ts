import * as common from '@jayhaven/common';
import type * as http from 'node:http';
import * as net from 'node:net';
import type * as stream from 'node:stream';

/** Idle connections are closed after this time, well before replicas do, milliseconds. */
const maximumIdleMs = 4_000;
/** Margin by which an idle connection is closed before the replica's stated keep-alive timeout, milliseconds. */
const keepAliveMarginMs = 700;

const removeDataListener = Symbol('spoil');

type IdleSocket = net.Socket & { [removeDataListener]?: () => void };

/**
 * Keeps connections to replicas open between requests. A byte that arrives on an idle connection belongs to no request,
 * so the connection is closed.
 */
export class ReplicaAgent extends common.PacedAgent {
  public constructor() {
    super({ keepAlive: true, maxFreeSockets: 16 });
  }

  /** Called by Node.js when a request has released its connection; false closes the connection. */
  public override keepSocketAlive(socket: stream.Duplex): boolean {
    if (!isSocket(socket)) {
      return false;
    }
    const hint = keepAliveHintMs(socket);
    const idleMs = Math.min(maximumIdleMs, hint === undefined ? maximumIdleMs : hint - keepAliveMarginMs);
    if (idleMs <= 0 || socket.destroyed || socket.readableLength > 0) {
      return false;
    }
    socket.setKeepAlive(true);
    socket.unref();
    socket.setTimeout(idleMs);
    const onData = (): void => {
      socket.destroy();
    };
    socket.on('data', onData);
    socket[removeDataListener] = () => socket.off('data', onData);
    return true;
  }

  /** Called by Node.js before a request reuses an idle connection. */
  public override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    if (isSocket(socket)) {
      socket[removeDataListener]?.();
      socket.setTimeout(0);
    }
    super.reuseSocket(socket, request);
  }
}

function isSocket(socket: stream.Duplex): socket is IdleSocket {
  return socket instanceof net.Socket;
}

function keepAliveHintMs(socket: net.Socket): number | undefined {
  const message = (socket as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
  const match = /timeout=(\d+)/.exec(String(message?.res?.headers['keep-alive'] ?? ''));
  return match === null ? undefined : Number(match[1]) * 1000;
}
