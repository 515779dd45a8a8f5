import * as net from 'node:net';
import type { Address } from '../Types.js';

/** Time after which an address that does not answer counts as not decided, milliseconds. */
const probeTimeoutMs = 300;

/**
 * Finds out whether nothing listens at an address any more, by a connection without a request. A replica whose connections
 * were reset, or that is cut off, has not shown that it ended: the first accepts, the other does not answer.
 */
export function hasEnded({ host, port }: Address): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = net.connect({ host, port, timeout: probeTimeoutMs });
    const finish = (ended: boolean): void => {
      socket.destroy();
      resolve(ended);
    };
    socket.once('connect', () => {
      finish(false);
    });
    socket.once('timeout', () => {
      finish(false);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED');
    });
  });
}
