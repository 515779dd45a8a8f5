import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';
import * as http from 'node:http';

/**
 * Stand-in of a sound model replica, as PROTOCOL.md describes it. An order to unload an adapter that a request uses is
 * accepted with 202 and waits for its runs to end, and until then further orders get 409; an adapter that no request uses is
 * unloaded at once, with 200.
 */
export class EngineReplica {
  #server = http.createServer((request, response) => this.#handle(request, response));
  #seq = 0;
  #born = Date.now();
  /** Adapters by model, each with its number of runs, and whether it goes once they have ended. */
  models = new Map();
  orders = [];

  constructor(id, service, { slots = 32, adapterSlots = 8, eventMs = 150, adapterLoadMs = 8 }, record) {
    Object.assign(this, { id, service, slots, adapterSlots, eventMs, adapterLoadMs, record });
  }

  async open() {
    // Idle connections are closed after this time, which the header Keep-Alive of each answer states.
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
      address: this.address ?? `127.0.0.1:${this.port}`,
      zone: 'liberia-a',
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_left_ms: 0,
      born: this.#born,
      seq: this.#seq,
      stage: 'both',
      models: this.#modelList(),
      at_hand: { in_memory: [...this.models.keys()], on_disk: [...this.models.keys()] },
    };
  }

  addModel(name, adapters) {
    this.models.set(name, new Map(adapters.map((adapter) => [adapter, { runs: 0, leaves: false, ready: true }])));
  }

  get adapterCount() {
    return [...this.models.values()].reduce((sum, adapters) => sum + adapters.size, 0);
  }

  #modelList() {
    return [...this.models].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters].filter(([, { ready }]) => ready).map(([adapter]) => adapter),
    }));
  }

  #handle(request, response) {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', () => {
      const expected = request.headers['expect-replica'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'Replica-Id': this.id, 'Content-Length': '0' }).end();
      } else if (request.url === '/report') {
        this.#sendReport(response);
      } else if (request.url === '/order') {
        this.#takeOrder(JSON.parse(Buffer.concat(parts).toString()), response);
      } else {
        this.#run(request, response);
      }
    });
  }

  #sendReport(response) {
    const coming = [...this.models].flatMap(([model, adapters]) =>
      [...adapters].filter(([, { ready }]) => !ready).map(([adapter]) => `${model}/${adapter}@1`),
    );
    const text = JSON.stringify({
      stage: 'both',
      models: this.#modelList(),
      busy: false,
      seq: this.#seq,
      born: this.#born,
      coming,
      queued: 0,
      running: 0,
      kv_used: 0,
      kv_total: 90_000,
      handles: 0,
    });
    response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
    response.end(text);
  }

  #takeOrder(order, response) {
    const status = this.#orderStatus(order);
    this.orders.push({ ...order, status, atMs: Date.now() });
    this.record('order', { replica: this.id, ...order, status, adaptersAfter: this.adapterCount });
    response.writeHead(status, { 'Content-Length': '0' }).end();
  }

  #orderStatus({ op_kind: kind, model, adapter, precondition, holder, fence }) {
    const adapters = this.models.get(model);
    if (holder === undefined || fence === undefined || adapter === undefined || adapters === undefined) {
      return 400;
    }
    const isUnloading = [...this.models.values()].some((held) => [...held.values()].some(({ leaves }) => leaves));
    if (isUnloading || (precondition !== undefined && precondition !== this.#seq)) {
      return 409;
    }
    const held = adapters.get(adapter);
    if (kind === 'load') {
      return this.#loadAdapter(adapters, adapter, held);
    }
    this.#seq += 1;
    if (held === undefined || held.runs === 0) {
      adapters.delete(adapter);
      return 200;
    }
    held.leaves = true;
    return 202;
  }

  #loadAdapter(adapters, adapter, held) {
    if (held !== undefined && !held.leaves) {
      return 200;
    }
    this.#seq += 1;
    if (this.adapterCount >= this.adapterSlots) {
      this.record('ordered beyond the places for adapters', { replica: this.id, adapter, held: this.adapterCount });
    }
    const added = { runs: 0, leaves: false, ready: false };
    adapters.set(adapter, added);
    setTimeout(() => (added.ready = true), this.adapterLoadMs);
    return 202;
  }

  #run(request, response) {
    const id = String(request.headers['attempt-id']);
    const [model, adapter] = String(request.headers.model).split('/');
    const held = this.models.get(model)?.get(adapter);
    if (held === undefined || !held.ready || held.leaves) {
      this.record('refused', { replica: this.id, id, model, adapter });
      response.writeHead(421, { 'Attempt-Id': id, 'Replica-Id': this.id, 'Not-Executed': '1', 'Content-Length': '0' });
      response.end();
      return;
    }
    const events = Number(String(request.headers['token-counts']).split(',')[1]) / 6;
    held.runs += 1;
    this.record('runs', { replica: this.id, id, adapter, events });
    this.#stream(request, response, { id, model, adapter, held, events });
  }

  #stream(request, response, { id, model, adapter, held, events }) {
    response.writeHead(200, {
      'Attempt-Id': id,
      'Replica-Seal': `seal.${id}`,
      'Content-Type': 'text/event-stream',
      'Replica-Load': `1,0,${this.slots}`,
    });
    let event = Number(request.headers['last-event-id'] ?? 0);
    const end = () => {
      clearInterval(timer);
      held.runs -= 1;
      if (held.runs === 0 && held.leaves) {
        this.models.get(model).delete(adapter);
      }
      this.record('run ended', { replica: this.id, id, adapter, event });
    };
    const timer = setInterval(() => {
      event += 1;
      response.write(`id: ${event}\ndata: ${id}\n\n`);
      if (event >= events) {
        response.end();
      }
    }, this.eventMs);
    response.once('close', end);
  }
}
