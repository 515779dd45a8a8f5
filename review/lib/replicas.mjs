/** A stand-in for a replica of a plain service. */
import { Buffer } from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';

export class PlainReplica {
  /** Requests that ran: id, path and time of the start, milliseconds since 1970. */
  runs = [];
  born = Date.now();
  #server;

  /** `spoil(request, response, answer)` may send a spoilt answer instead; it returns true if it did. */
  constructor(id, service, { workMs = 20, slots = 6, spoil = () => false } = {}) {
    Object.assign(this, { id, service, workMs, slots, spoil });
  }

  async open(host = '127.0.0.1') {
    this.#server = http.createServer((request, response) => {
      request.resume();
      request.on('end', () => this.#handle(request, response));
    });
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  entry(state = 'ready') {
    const { service, address, slots, born } = this;
    return { service, address, zone: 'zone-a', version: 1, slots, state, cold_left_ms: 0, seq: 0, born };
  }

  #handle(request, response) {
    const attemptId = request.headers['attempt-id'];
    const expected = request.headers['expect-replica'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attemptId, 'Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    const run = { attemptId, path: request.url, startMs: Date.now(), spoilt: false };
    this.runs.push(run);
    setTimeout(() => {
      const body = Buffer.alloc(800, 0x61);
      const seal = crypto.createHash('sha256').update(attemptId).update(body).digest('hex').slice(0, 16);
      const headers = { 'Attempt-Id': attemptId, 'Replica-Seal': seal, 'Content-Length': body.length };
      run.endMs = Date.now();
      if (this.spoil(request, response, { headers, body })) {
        run.spoilt = true;
        return;
      }
      response.writeHead(200, headers).end(body);
    }, this.workMs);
  }
}

/** Sends an answer whose status line is as given, and closes the connection. */
export function sendWithStatusLine(response, statusLine, { headers, body }) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  response.socket.end(Buffer.concat([Buffer.from(`${[statusLine, ...lines].join('\r\n')}\r\n\r\n`, 'latin1'), body]));
}
