/**
 * Preloaded into measured processes. Counts the bytes on TCP sockets by port. The totals are written to a file only on
 * SIGUSR2, so that counting adds no load between the readings.
 */
import * as diagnosticsChannel from 'node:diagnostics_channel';
import * as fs from 'node:fs';
import type * as net from 'node:net';
import * as path from 'node:path';

interface Bytes {
  sent: number;
  received: number;
}

const folder = process.env.JAYHAVEN_CAPACITY_FOLDER;
const totals = new Map<string, Bytes>();
const openSockets = new Map<net.Socket, string>();
let reports = 0;

function add(key: string, sent: number, received: number): void {
  const bytes = totals.get(key) ?? { sent: 0, received: 0 };
  totals.set(key, { sent: bytes.sent + sent, received: bytes.received + received });
}

function trackSocket(socket: net.Socket, key: string): void {
  openSockets.set(socket, key);
  socket.once('close', () => {
    openSockets.delete(socket);
    add(key, socket.bytesWritten, socket.bytesRead);
  });
}

diagnosticsChannel.subscribe('net.client.socket', (message) => {
  const { socket } = message as { readonly socket: net.Socket };
  socket.once('connect', () => {
    trackSocket(socket, `to:${socket.remotePort ?? 0}`);
  });
});
diagnosticsChannel.subscribe('net.server.socket', (message) => {
  const { socket } = message as { readonly socket: net.Socket };
  trackSocket(socket, `at:${socket.localPort ?? 0}`);
});

if (folder !== undefined) {
  process.on('SIGUSR2', () => {
    const now = new Map([...totals].map(([key, bytes]) => [key, { ...bytes }]));
    for (const [socket, key] of openSockets) {
      const bytes = now.get(key) ?? { sent: 0, received: 0 };
      const { bytesWritten, bytesRead } = socket;
      now.set(key, { sent: bytes.sent + bytesWritten, received: bytes.received + bytesRead });
    }
    reports += 1;
    const file = path.join(folder, `${process.pid}-${reports}.json`);
    const { heapUsed, external } = process.memoryUsage();
    fs.writeFileSync(`${file}.part`, JSON.stringify({ traffic: Object.fromEntries(now), heapUsed, external }));
    fs.renameSync(`${file}.part`, file);
  });
}
