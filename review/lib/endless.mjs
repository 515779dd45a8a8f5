/** A stand-in for a replica of a streaming service, some of whose answers have no end. */
import { Buffer } from 'node:buffer';
import * as http from 'node:http';

/** Time between two events of a sound stream, milliseconds, and their number. */
const eventGapMs = 60;
const eventCount = 8;

export class StreamReplica {
  runs = [];
  born = Date.now();
  endlessBytes = 0;
  #server;

  /** `isEndless(request)` decides for each request whether its answer has no end. */
  constructor(id, service, { line, isEndless = () => false }) {
    Object.assign(this, { id, service, line, isEndless });
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

  entry() {
    const { service, address, born } = this;
    return { service, address, zone: 'zone-a', version: 1, slots: 32, state: 'ready', cold_left_ms: 0, seq: 0, born };
  }

  #handle(request, response) {
    const attemptId = request.headers['attempt-id'];
    const expected = request.headers['expect-replica'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'Attempt-Id': attemptId, 'Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    const run = { attemptId, startMs: Date.now(), endless: this.isEndless(request) };
    this.runs.push(run);
    response.writeHead(200, {
      'Attempt-Id': attemptId,
      'Replica-Seal': `seal-${attemptId}`,
      'Content-Type': 'text/event-stream',
    });
    if (run.endless) {
      this.#sendWithoutEnd(response);
    } else {
      this.#sendEvent(response, 1);
    }
  }

  #sendEvent(response, id) {
    response.write(`id: ${id}\ndata: event ${id}\n\n`);
    if (id === eventCount) {
      response.end();
    } else {
      setTimeout(() => this.#sendEvent(response, id + 1), eventGapMs);
    }
  }

  /** Sends one line after the other, each in a chunk of its own, and never the empty line that ends an event. */
  #sendWithoutEnd(response) {
    const { socket } = response;
    response.flushHeaders();
    const chunk = `${this.line.length.toString(16)}\r\n${this.line}\r\n`;
    const block = Buffer.from(chunk.repeat(Math.floor(65_536 / chunk.length)));
    socket.on('error', () => undefined);
    const send = () => {
      let takesMore = true;
      while (takesMore && !socket.destroyed) {
        this.endlessBytes += block.length;
        takesMore = socket.write(block);
      }
      socket.once('drain', send);
    };
    send();
  }
}
