import type { Route } from '../Types.js';
import { ExchangeFixture, type ReplicaScript } from './ExchangeFixture.js';

/** A whole answer of a replica, with its signature. */
export const signedAnswer = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-other: 1\r\nContent-Length: 5\r\n\r\nwhole';
/** Header of an answer that is a stream of events. */
export const eventType = 'Content-Type: text/event-stream\r\n';

/** Runs a test with a caller server, a route and a replica for each script. */
export async function withReplicas(
  route: Partial<Route>,
  scripts: readonly ReplicaScript[],
  test: (fixture: ExchangeFixture) => Promise<void>,
): Promise<void> {
  await using fixture = new ExchangeFixture(route);
  for (const script of scripts) {
    await fixture.addReplica(script);
  }
  await fixture.open();
  await test(fixture);
}

/** A replica that sends the bytes of a text, one for each character, and closes the connection. */
export function sends(text: string): ReplicaScript {
  return (socket) => void socket.end(Buffer.from(text, 'latin1'));
}
