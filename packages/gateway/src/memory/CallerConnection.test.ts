import * as http from 'node:http';
import * as net from 'node:net';
import * as vitest from 'vitest';
import { CallerConnection } from './CallerConnection.js';

interface ConnectionFixture {
  readonly connection: CallerConnection;
  readonly response: http.ServerResponse;
  /** Lets the caller send bytes. */
  readonly receive: (bytes: number) => void;
  readonly completeBody: () => void;
}

function openConnection(): ConnectionFixture {
  let bytesRead = 0;
  const socket = new net.Socket();
  Object.defineProperty(socket, 'bytesRead', { get: () => bytesRead });
  const request = new http.IncomingMessage(socket);
  return {
    connection: new CallerConnection(socket, 0, () => undefined),
    response: new http.ServerResponse(request),
    receive: (bytes) => {
      bytesRead += bytes;
    },
    completeBody: () => {
      request.complete = true;
    },
  };
}

vitest.describe('an idle connection', () => {
  vitest.test('does not count the last body as an unfinished head (guards against a 431 that nobody asked for)', () => {
    const { connection, response, receive, completeBody } = openConnection();
    receive(500);
    connection.beginRequest(response, 0);
    receive(200_000);
    completeBody();
    connection.endRequest(response, 10);
    connection.measure(20);
    vitest.expect(connection.headBytes).toBe(0);
    receive(300);
    connection.measure(30);
    vitest.expect(connection.headBytes).toBe(300);
  });

  vitest.test('does not count a body that is discarded after its response (guards against the same)', () => {
    const { connection, response, receive, completeBody } = openConnection();
    connection.beginRequest(response, 0);
    connection.endRequest(response, 10);
    receive(200_000);
    connection.measure(20);
    receive(100_000);
    completeBody();
    connection.measure(30);
    vitest.expect(connection.headBytes).toBe(0);
  });
});
