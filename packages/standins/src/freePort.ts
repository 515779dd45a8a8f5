import * as net from 'node:net';

/** Ports below the ephemeral range, so that no outgoing connection takes one before its process binds it. */
const lowestPort = 12_000;
const portsPerProcess = 1_000;
/** Number of subranges for the workers of the test runner; the subranges after them are for other processes. */
const workerRanges = 8;
const otherRanges = 10;
const maximumAttempts = 200;

const returnedPorts = new Set<number>();

/**
 * Returns the first port of this process. A port is bound only some time after it was picked, so concurrent processes
 * pick from different subranges.
 */
function firstPort(): number {
  const worker = Number(process.env.VITEST_POOL_ID ?? 0);
  const rangeIndex = worker > 0 ? (worker - 1) % workerRanges : workerRanges + (process.pid % otherRanges);
  return lowestPort + rangeIndex * portsPerProcess;
}

/** Returns a free port of a loopback address. Never returns the same port twice in a process. */
export async function freePort(host = '127.0.0.1'): Promise<number> {
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    const port = firstPort() + Math.floor(Math.random() * portsPerProcess);
    if (!returnedPorts.has(port) && (await canListen(host, port))) {
      returnedPorts.add(port);
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
