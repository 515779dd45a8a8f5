import * as http from 'node:http';
import type * as net from 'node:net';
import type * as stream from 'node:stream';

/** Idle connections are closed after this time, well before replicas do, milliseconds. */
const maximumIdleMs = 4_000;
/** Time by which an idle connection is closed before the end of the replica's stated keep-alive, milliseconds. */
const keepAliveMarginMs = 700;

const spoil = Symbol('spoil');

interface IdleSocket extends net.Socket {
  [spoil]?: () => void;
}

/**
 * Keeps connections to replicas open between requests. Any byte that arrives on an idle connection belongs to no
 * request, so it closes the connection.
 */
export class ReplicaAgent extends http.Agent {
  public constructor() {
    super({ keepAlive: true, maxFreeSockets: 16 });
  }

  /** Called by Node.js when a request has left a connection; false closes it. */
  public override keepSocketAlive(socket: stream.Duplex): boolean {
    const idle = socket as IdleSocket;
    const hint = keepAliveHintMs(idle);
    const idleMs = Math.min(maximumIdleMs, hint === undefined ? maximumIdleMs : hint - keepAliveMarginMs);
    if (idleMs <= 0 || idle.destroyed || idle.readableLength > 0) {
      return false;
    }
    idle.setKeepAlive(true);
    idle.unref();
    idle.setTimeout(idleMs);
    const onData = (): void => {
      idle.destroy();
    };
    idle.on('data', onData);
    idle[spoil] = () => idle.off('data', onData);
    return true;
  }

  /** Called by Node.js before a request takes a kept connection. */
  public override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    const idle = socket as IdleSocket;
    idle[spoil]?.();
    idle.setTimeout(0);
    super.reuseSocket(socket, request);
  }
}

function keepAliveHintMs(socket: net.Socket): number | undefined {
  const message = (socket as { _httpMessage?: { res?: http.IncomingMessage } })._httpMessage;
  const match = /timeout=(\d+)/.exec(String(message?.res?.headers['keep-alive'] ?? ''));
  return match === null ? undefined : Number(match[1]) * 1000;
}
