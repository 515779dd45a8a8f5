import { clearTimeout, setImmediate, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import { sendJson } from './Store.mjs';

/** Age of a report, milliseconds. */
const reportLagMs = 100;
/** Time in which an adapter is loaded, milliseconds. */
const adapterLoadMs = 7;

/**
 * Stand-in of a model replica as `PROTOCOL.md` describes it: streams, orders with preconditions, reports, and an entry in the
 * store. A start after a crash has the same id and address, a later `born`, no models, and the weights on its disk.
 */
export class Replica {
  constructor(id, { service, store, recorder, models, slots = 32, adapterSlots = 8, version = '1', onDisk = [] }) {
    Object.assign(this, { id, service, slots, adapterSlots, version });
    this._store = store;
    this._recorder = recorder;
    this._specifications = models;
    this._held = new Map();
    this._onDisk = new Set(onDisk);
    this._sequence = 0;
    this._busyUntilMs = 0;
    this._reports = [];
    this._runs = new Set();
    this._sockets = new Set();
    /** Time between two events of a stream, milliseconds. */
    this.eventGapMs = 50;
    this.firstEventMs = 60;
    /** Tokens that an event of a stream holds, as the site's sheet says. */
    this.tokensPerEvent = 6;
    this.state = 'ready';
    /** Part of a prompt that ends the replica when it begins to write an answer to it. */
    this.crashingPart = undefined;
    /** Time from the head of such an answer to the end of the replica, milliseconds. */
    this.crashAfterMs = 2;
    /** Called with each attempt that the replica begins to run. */
    this.onRun = () => undefined;
    /** Called with each request that reaches the replica. */
    this.onArrival = () => undefined;
    /** Called when an order exceeds what the replica holds. */
    this.onOverload = () => undefined;
    this.onCrash = () => undefined;
  }

  /** Listens; `models` are held from the start. */
  async open(models = []) {
    for (const name of models) {
      this._held.set(name, new Map());
      this._onDisk.add(name);
    }
    await this._listen(0);
    this._bornMs = Date.now();
    this._snapshot();
    this.writeEntry();
  }

  async _listen(port) {
    this._server = http.createServer({ keepAliveTimeout: 20_000 }, (request, response) => {
      this._handle(request, response);
    });
    this._server.on('connection', (socket) => {
      this._sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this._sockets.delete(socket));
    });
    await new Promise((resolve) => this._server.listen(port, '127.0.0.1', resolve));
    this.port = this._server.address().port;
    this.isDown = false;
  }

  close() {
    clearTimeout(this._restartTimer);
    this._server.close();
    this._sockets.forEach((socket) => socket.destroy());
  }

  /** Ends with all its runs, and starts again after a time, possibly with other software. */
  async restart(downMs, version = this.version) {
    const { port } = this;
    this._recorder.write(this.id, 'ends', { running: this._runs.size });
    this.isDown = true;
    this._runs.clear();
    const closed = new Promise((resolve) => this._server.close(resolve));
    this._sockets.forEach((socket) => socket.resetAndDestroy());
    await closed;
    await new Promise((resolve) => {
      this._restartTimer = setTimeout(resolve, downMs);
    });
    this._held.clear();
    this._sequence = 0;
    this._busyUntilMs = 0;
    this.version = version;
    this._bornMs = Date.now();
    await this._listen(port);
    this._snapshot();
    this._recorder.write(this.id, 'started again', { version, born: this._bornMs });
    this.writeEntry();
  }

  /** Announces that it leaves, serves on for a time, and starts again, possibly with other software. */
  async replace(servesMs, downMs, version) {
    this.state = 'draining';
    this.writeEntry();
    await new Promise((resolve) => setTimeout(resolve, servesMs));
    this.state = 'ready';
    await this.restart(downMs, version);
  }

  /** Announces that it leaves, serves on for a time, and ends for good. */
  async leave(servesMs) {
    this.state = 'draining';
    this.writeEntry();
    await new Promise((resolve) => setTimeout(resolve, servesMs));
    this._recorder.write(this.id, 'leaves', { running: this._runs.size });
    this.isDown = true;
    this._runs.clear();
    this._server.close();
    this._sockets.forEach((socket) => socket.resetAndDestroy());
    this._store.put('keyed.servers', this.id, undefined);
  }

  async crash() {
    if (!this.isDown) {
      this.onCrash();
      await this.restart(2_000);
    }
  }

  writeEntry() {
    this._store.put('keyed.servers', this.id, {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: 'liberia-a',
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      seq: this._sequence,
      born: this._bornMs,
      stage: 'both',
      models: this._models(),
      at_hand: { in_memory: [], on_disk: [...this._onDisk] },
    });
  }

  holds(model) {
    return this._held.has(model);
  }

  adapters(model) {
    return [...(this._held.get(model)?.keys() ?? [])];
  }

  _models() {
    return [...this._held].map(([name, adapters]) => ({
      name,
      version: 1,
      adapters: [...adapters].filter(([, adapter]) => adapter.isReady).map(([adapter]) => adapter),
    }));
  }

  /** Reports show the state of some time ago. */
  _snapshot() {
    const coming = [...this._held].flatMap(([model, adapters]) =>
      [...adapters].filter(([, adapter]) => !adapter.isReady).map(([name]) => `${model}/${name}@1`),
    );
    const report = {
      stage: 'both',
      models: this._models(),
      busy: Date.now() < this._busyUntilMs,
      seq: this._sequence,
      born: this._bornMs,
      queued: 0,
      running: this._runs.size,
      kv_used: 0,
      kv_total: 91_113,
      handles: 0,
      coming,
      at_hand: { in_memory: [], on_disk: [...this._onDisk] },
    };
    this._reports.push({ atMs: Date.now(), report });
    this._reports = this._reports.slice(-50);
  }

  _report() {
    const untilMs = Date.now() - reportLagMs;
    return (this._reports.findLast(({ atMs }) => atMs <= untilMs) ?? this._reports.at(-1)).report;
  }

  _handle(request, response) {
    response.on('error', () => undefined);
    request.on('error', () => undefined);
    const attemptId = request.headers['attempt-id'];
    if (attemptId !== undefined) {
      this.onArrival({ attemptId, headers: request.headers });
      this._recorder.write(this.id, 'gets request', { attemptId, model: request.headers.model });
    }
    const expected = request.headers['expect-replica'];
    if (expected !== undefined && expected !== this.id) {
      sendEmpty(response, 421, { 'Replica-Id': this.id, ...identity(attemptId) });
    } else if (request.url === '/report') {
      sendJson(response, 200, this._report());
    } else if (request.url === '/order') {
      readText(request, (text) => this._order(JSON.parse(text), response));
    } else if (attemptId === undefined) {
      sendEmpty(response, 400, { 'Not-Executed': '1' });
    } else {
      readText(request, () => this._request(attemptId, request, response));
    }
  }

  _order(order, response) {
    const answer = this._applyOrder(order);
    const { op_kind: kind, model, adapter, precondition, holder, fence } = order;
    const held = this.adapterCount();
    this._recorder.write(this.id, 'order', { kind, model, adapter, precondition, holder, fence, answer, held });
    sendEmpty(response, answer);
    this._snapshot();
  }

  /** Number of adapters that the replica holds, those that are still loaded or that wait for their runs included. */
  adapterCount() {
    return [...this._held.values()].reduce((sum, adapters) => sum + adapters.size, 0);
  }

  _usedMegabytes() {
    return [...this._held].reduce((sum, [name, adapters]) => {
      const { weight_size: weight, adapter_mb: adapterWeight } = this._specifications.get(name);
      return sum + weight + adapters.size * adapterWeight;
    }, 0);
  }

  _applyOrder({ op_kind: kind, model, adapter, precondition }) {
    const isBusy = Date.now() < this._busyUntilMs;
    const specification = this._specifications.get(model);
    if (specification === undefined || (adapter !== undefined && !this._held.has(model))) {
      return 400;
    }
    if (isBusy || (precondition !== undefined && precondition !== this._sequence)) {
      return 409;
    }
    if (adapter !== undefined) {
      return this._applyAdapterOrder(kind, model, adapter);
    }
    if ((kind === 'load') === this._held.has(model)) {
      return 200;
    }
    this._sequence += 1;
    if (kind === 'load') {
      this._load(model, specification);
    } else {
      this._held.delete(model);
      this.writeEntry();
    }
    return 202;
  }

  _load(model, specification) {
    const durationMs = 1_000 * (this._onDisk.has(model) ? specification.disk_s : specification.load_s);
    this._busyUntilMs = Date.now() + durationMs;
    const bornMs = this._bornMs;
    setTimeout(() => {
      if (bornMs === this._bornMs && !this.isDown) {
        this._held.set(model, new Map());
        this._onDisk.add(model);
        this._snapshot();
        this._recorder.write(this.id, 'holds model', { model });
        if (this._usedMegabytes() > 200_000) {
          this.onOverload({ model });
        }
        this.writeEntry();
      }
    }, durationMs);
  }

  /** Adapters make no replica busy. One that requests use is dropped once their runs have ended. */
  _applyAdapterOrder(kind, model, name) {
    const adapters = this._held.get(model);
    const known = adapters.get(name);
    if (kind === 'load') {
      if (known !== undefined && !known.isLeaving) {
        return 200;
      }
      this._sequence += 1;
      const adapter = { isReady: false, isLeaving: false };
      adapters.set(name, adapter);
      if (this.adapterCount() > this.adapterSlots) {
        this.onOverload({ model, adapter: name, held: this.adapters(model) });
        setImmediate(() => void this.crash());
        return 202;
      }
      setTimeout(() => {
        adapter.isReady = true;
        this._snapshot();
      }, adapterLoadMs);
      return 202;
    }
    if (known === undefined) {
      return 200;
    }
    this._sequence += 1;
    if (this._isUsed(model, name)) {
      known.isLeaving = true;
      return 202;
    }
    adapters.delete(name);
    return 200;
  }

  _isUsed(model, adapter) {
    return [...this._runs].some((run) => run.model === model && run.adapter === adapter);
  }

  _request(attemptId, request, response) {
    const [model, adapter] = (request.headers.model ?? '').split('/');
    const adapters = this._held.get(model);
    const isHeld = adapters !== undefined && (adapter === undefined || adapters.get(adapter)?.isReady === true);
    if (request.headers.model !== undefined && !isHeld) {
      sendEmpty(response, 421, { 'Replica-Id': this.id, 'Not-Executed': '1', ...identity(attemptId) });
      this._recorder.write(this.id, 'turns away, lacks the model', { attemptId, model, adapter });
      return;
    }
    if (adapters?.get(adapter)?.isLeaving === true || this._runs.size >= this.slots) {
      sendEmpty(response, 503, { 'Not-Executed': '1', ...identity(attemptId) });
      this._recorder.write(this.id, 'turns away', { attemptId, model, adapter });
      return;
    }
    this._run({ attemptId, model, adapter, bornMs: this._bornMs }, request, response);
  }

  _run(run, request, response) {
    this._runs.add(run);
    const after = Number(request.headers['last-event-id'] ?? 0);
    const tokens = Number(request.headers['token-counts']?.split(',')[1] ?? this.tokensPerEvent);
    const events = tokens / this.tokensPerEvent;
    Object.assign(run, { version: this.version, replica: this.id, after, lastEvent: undefined });
    this.onRun(run);
    const { attemptId, model, adapter } = run;
    this._recorder.write(this.id, 'runs', { attemptId, model, adapter, version: this.version, after });
    const finish = (how) => {
      clearTimeout(run.timer);
      if (this._runs.delete(run)) {
        this._recorder.write(this.id, 'run ends', { attemptId, how });
        this._dropLeaving(model, adapter);
      }
    };
    response.on('close', () => finish(response.writableFinished ? 'complete' : 'caller left'));
    const begin = () => {
      response.writeHead(200, {
        'Attempt-Id': attemptId,
        'Replica-Seal': `seal.${this.id}`,
        'Replica-Load': `${this._runs.size},0,${this.slots}`,
        'Content-Type': 'text/event-stream',
        ...(this.state === 'draining' && { 'Server-Leaving': '1' }),
      });
      const parts = (request.headers['prompt-prefix'] ?? '').split(',').map((part) => part.split(':')[0]);
      if (this.crashingPart !== undefined && parts.includes(this.crashingPart)) {
        response.flushHeaders();
        this._recorder.write(this.id, 'crashes on a part', { attemptId, part: this.crashingPart });
        setTimeout(() => void this.crash(), this.crashAfterMs);
      }
      writeEvent(after + 1);
    };
    const writeEvent = (id) => {
      if (!this._runs.has(run)) {
        return;
      }
      response.write(`id: ${id}\ndata: ${attemptId} ${id}\n\n`);
      run.lastEvent = id;
      if (id >= events) {
        response.end();
      } else {
        run.timer = setTimeout(() => writeEvent(id + 1), this.eventGapMs);
      }
    };
    run.timer = setTimeout(begin, this.firstEventMs);
  }

  _dropLeaving(model, name) {
    const adapters = this._held.get(model);
    if (adapters?.get(name)?.isLeaving === true && !this._isUsed(model, name)) {
      adapters.delete(name);
      this._snapshot();
    }
  }
}

function identity(attemptId) {
  return attemptId === undefined ? {} : { 'Attempt-Id': attemptId };
}

function sendEmpty(response, status, headers = {}) {
  response.writeHead(status, { 'content-length': 0, ...headers });
  response.end();
}

function readText(request, onText) {
  const parts = [];
  request.on('data', (part) => parts.push(part));
  request.on('end', () => onText(Buffer.concat(parts).toString()));
}
