import type * as net from 'node:net';
import type { ReplicaScript } from './ExchangeFixture.js';

/** Start of the head of a success, with its signature. */
export const signedHead = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\n';
/** Start of the head of a refusal. */
export const notExecutedHead = 'HTTP/1.1 503 Full\r\nx-attempt: a1\r\nx-not-run: 1\r\n';
/** A whole answer of a replica, with its signature. */
export const signedAnswer = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-other: 1\r\nContent-Length: 5\r\n\r\nwhole';
/** Header of an answer that is a stream of events. */
export const eventType = 'Content-Type: text/event-stream\r\n';

/** Sends a complete response and keeps the connection open. */
export const responds: ReplicaScript = (socket) => {
  socket.write(`${signedHead}Content-Length: 5\r\n\r\nwhole`);
};

/** A replica that sends the bytes of a text, one for each character, and closes the connection. */
export function sends(text: string): ReplicaScript {
  return (socket) => void socket.end(Buffer.from(text, 'latin1'));
}

/** Events of a stream with the identifiers of a range. */
export function events(from: number, to: number): string {
  return Array.from({ length: to - from + 1 }, (_none, index) => `id: ${from + index}\ndata: x\n\n`).join('');
}

/** A text as a chunk of a body. */
export function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Writes a text every 5 ms; resolves once the socket is closed. */
export function writeRepeatedly(socket: net.Socket, text: string): Promise<void> {
  return new Promise((resolve) => {
    const timer = setInterval(() => socket.write(text), 5);
    socket.once('close', () => {
      clearInterval(timer);
      resolve();
    });
  });
}
