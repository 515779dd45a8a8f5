import * as net from 'node:net';

/** Ports below the ephemeral range, so that no outgoing connection takes one before its process binds it. */
const lowestPort = 12_000;
const portsPerProcess = 1_000;
/** Number of subranges for the workers of the test runner; the subranges after them are for other processes. */
const workerParts = 8;
const otherParts = 10;
const maximumAttempts = 200;

const handedOut = new Set<number>();

/**
 * Returns the first port of this process. A port is bound only some time after it was picked, so concurrent processes
 * pick from different subranges.
 */
function firstPort(): number {
  const worker = Number(process.env.VITEST_POOL_ID ?? 0);
  const part = worker > 0 ? (worker - 1) % workerParts : workerParts + (process.pid % otherParts);
  return lowestPort + part * portsPerProcess;
}

/** Returns a free port of a loopback address. Never returns the same port twice in a process. */
export async function freePort(host = '127.0.0.1'): Promise<number> {
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    const port = firstPort() + Math.floor(Math.random() * portsPerProcess);
    if (!handedOut.has(port) && (await canListen(host, port))) {
      handedOut.add(port);
      return port;
    }
  }
  throw new Error(`no free port found in ${maximumAttempts} attempts`);
}

function canListen(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
