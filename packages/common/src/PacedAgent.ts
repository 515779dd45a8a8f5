import * as http from 'node:http';
import * as net from 'node:net';
import type * as stream from 'node:stream';

/**
 * Bytes that are read from a connection at once. A chunk of one byte takes six, so that a read of 64 KiB, as Node.js makes
 * them, can hold 10,000 parts of a body, which are parsed before the event loop serves other connections.
 */
const readBytes = 4 * 1024;
/** Bytes of a body that are parsed before they are used; Node.js parses 16 KiB ahead, which can be as many parts. */
const bufferedBytes = 1024;

const stopWatching = Symbol('stopWatching');

type IdleSocket = net.Socket & { [stopWatching]?: () => void };

/**
 * Agent whose connections are read in small pieces, so that a peer that sends many small parts delays nobody else. A byte
 * that arrives on an idle connection belongs to no request, so the connection is closed.
 */
export class PacedAgent extends http.Agent {
  /** Called by Node.js to open a connection. */
  public override createConnection(options: http.ClientRequestArgs): net.Socket {
    const pacing = {
      readableHighWaterMark: bufferedBytes,
      onread: {
        buffer: Buffer.allocUnsafe(readBytes),
        callback: (length: number, bytes: Uint8Array): boolean => socket.push(Buffer.from(bytes.subarray(0, length))),
      },
    };
    const socket: net.Socket = net.connect({ ...(options as net.NetConnectOpts), ...pacing });
    return socket;
  }

  /** Called by Node.js when a request has released its connection; false closes the connection. */
  public override keepSocketAlive(socket: stream.Duplex): boolean {
    if (!isSocket(socket) || socket.destroyed || socket.readableLength > 0) {
      return false;
    }
    super.keepSocketAlive(socket);
    const onData = (): void => {
      socket.destroy();
    };
    socket.on('data', onData);
    socket[stopWatching] = () => socket.off('data', onData);
    return true;
  }

  /** Called by Node.js before a request reuses an idle connection. */
  public override reuseSocket(socket: stream.Duplex, request: http.ClientRequest): void {
    if (isSocket(socket)) {
      socket[stopWatching]?.();
    }
    super.reuseSocket(socket, request);
  }
}

function isSocket(socket: stream.Duplex): socket is IdleSocket {
  return socket instanceof net.Socket;
}
