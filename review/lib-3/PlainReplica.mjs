import * as http from 'node:http';

/** Stand-in of a sound replica of a plain service, as PROTOCOL.md describes it. It may name a limit in its answers. */
export class PlainReplica {
  #server = http.createServer((request, response) => this.#handle(request, response));
  #born = Date.now();
  #running = 0;
  /** Requests a second that it takes from all machines together, as its answers say; undefined for no limit. */
  limitPerSecond;
  /** Requests that arrived, and the answers that named the limit. */
  arrivals = [];
  limitAnswers = [];

  constructor(id, service, { slots = 6, workMs = 21 }, record) {
    Object.assign(this, { id, service, slots, workMs, record });
  }

  async open() {
    this.#server.keepAliveTimeout = 15_000;
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  entry() {
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: 'liberia-a',
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_left_ms: 0,
      born: this.#born,
      seq: 0,
    };
  }

  #handle(request, response) {
    request.resume();
    request.on('end', () => {
      const expected = request.headers['expect-replica'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'Replica-Id': this.id, 'Content-Length': '0' }).end();
        return;
      }
      const id = String(request.headers['attempt-id']);
      this.arrivals.push({ id, atMs: Date.now() });
      this.record('runs', { replica: this.id, id });
      this.#running += 1;
      setTimeout(() => this.#answer(id, response), this.workMs);
    });
  }

  #answer(id, response) {
    this.#running -= 1;
    const limit = this.limitPerSecond === undefined ? {} : { 'Server-Limit': String(this.limitPerSecond) };
    if (this.limitPerSecond !== undefined) {
      this.limitAnswers.push({ id, atMs: Date.now() });
    }
    const text = `done ${id}\n`;
    response.writeHead(200, {
      'Attempt-Id': id,
      'Replica-Seal': `seal.${id}`,
      'Replica-Load': `${this.#running},0,${this.slots}`,
      'Content-Length': String(text.length),
      ...limit,
    });
    response.end(text);
  }
}
