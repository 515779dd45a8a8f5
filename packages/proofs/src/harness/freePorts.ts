import * as net from 'node:net';

/** Ports below the ephemeral range, so that no outgoing connection takes one before its process binds it. */
const lowestPort = 12_000;
const highestPort = 30_000;
const maximumAttempts = 200;

const handedOut = new Set<number>();

/** Picks a port of 127.0.0.1 on which nothing listens. Never returns one twice in a process. */
export async function freePort(): Promise<number> {
  for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
    const port = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));
    if (!handedOut.has(port) && (await canListen(port))) {
      handedOut.add(port);
      return port;
    }
  }
  throw new Error(`no free port found in ${maximumAttempts} attempts`);
}

function canListen(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, '127.0.0.1', () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
