import * as http from 'node:http';
import * as net from 'node:net';

/**
 * Bytes that are read from a connection at once. A chunk of one byte takes six, so that a read of 64 KiB, as Node.js makes
 * them, can hold 10,000 parts of a body, which are parsed before the event loop serves other connections.
 */
const readBytes = 4 * 1024;
/** Bytes of a body that are parsed before they are used; Node.js parses 16 KiB ahead, which can be as many parts. */
const bufferedBytes = 1024;

/** Agent whose connections are read in small pieces, so that a peer that sends many small parts delays nobody else. */
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
}
