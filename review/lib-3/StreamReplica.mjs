import { clearInterval, setInterval } from 'node:timers';
import * as http from 'node:http';

/**
 * Stand-in of a sound replica that answers with streams, as PROTOCOL.md describes it. It can crash and start again under its
 * id, at the same address, with other software.
 */
export class StreamReplica {
  isUp = false;

  constructor(id, service, { version, slots = 32, events, eventMs }, record) {
    Object.assign(this, { id, service, version, slots, events, eventMs, record });
  }

  async start() {
    this.born = Date.now();
    this.running = 0;
    this.server = http.createServer((request, response) => this.#handle(request, response));
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.server.listen(this.port ?? 0, '127.0.0.1', resolve));
    this.port = this.server.address().port;
    this.isUp = true;
  }

  /** Ends at once, with all its connections. */
  async crash() {
    this.isUp = false;
    const closed = new Promise((resolve) => this.server.close(resolve));
    this.server.closeAllConnections();
    await closed;
  }

  entry() {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: 'liberia-a',
      version: this.version,
      slots: this.slots,
      state: 'ready',
      cold_left_ms: 0,
      born: this.born,
      seq: 0,
    };
  }

  #handle(request, response) {
    request.resume();
    request.on('end', () => {
      const expected = request.headers['expect-replica'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'Replica-Id': this.id, 'Content-Length': '0' }).end();
      } else if (request.url === '/report') {
        const text = JSON.stringify({ stage: 'both', models: [], busy: false, seq: 0, born: this.born, coming: [] });
        response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': text.length }).end(text);
      } else {
        this.#stream(request, response);
      }
    });
  }

  #stream({ headers }, response) {
    const id = String(headers['attempt-id']);
    let event = Number(headers['last-event-id'] ?? 0);
    const { version } = this;
    this.record('runs', { replica: this.id, version, id, after: event });
    this.running += 1;
    response.writeHead(200, {
      'Attempt-Id': id,
      'Replica-Seal': `seal.${id}`,
      'Content-Type': 'text/event-stream',
      'Replica-Load': `${this.running},0,${this.slots}`,
    });
    const timer = setInterval(() => {
      event += 1;
      response.write(`id: ${event}\ndata: ${version}\n\n`);
      if (event >= this.events) {
        response.end();
      }
    }, this.eventMs);
    response.once('close', () => {
      clearInterval(timer);
      this.running -= 1;
    });
  }
}
