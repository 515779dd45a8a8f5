import { clearTimeout, setTimeout } from 'node:timers';
import { Buffer } from 'node:buffer';
import * as http from 'node:http';

/** Time that a call takes, milliseconds, as the sheet states it. */
const callMs = 4;

/**
 * Stand-in of the platform's metadata store: keyed topics with one partition. `PROTOCOL.md` describes its calls. Records of
 * the operator and of replicas are written with `put`, those of the gateways come by `/log-append`.
 */
export class Store {
  constructor(recorder) {
    this._recorder = recorder;
    this._topics = new Map();
    this._waiting = new Set();
    this._sockets = new Set();
    this._servers = [];
  }

  async open() {
    this.port = (await this.openPort()).port;
  }

  /**
   * Opens another port of the store, for the machines whose path to it is cut during the case. `rewrite` changes the texts that
   * are read there, for instance addresses into those of proxies.
   */
  async openPort(rewrite = (text) => text) {
    const path = { isCut: false, port: 0 };
    const server = http.createServer((request, response) => {
      // Packets of a cut path are lost: the call has no answer, and its connection stays open.
      setTimeout(() => path.isCut || this._handle(request, response, path, rewrite), callMs);
    });
    server.on('connection', (socket) => {
      this._sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this._sockets.delete(socket));
    });
    this._servers.push(server);
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    path.port = server.address().port;
    return path;
  }

  close() {
    this._servers.forEach((server) => server.close());
    this._sockets.forEach((socket) => socket.destroy());
  }

  /** Writes a record; without a value the key is removed. */
  put(topic, key, value) {
    this._append(topic, key, value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)));
    this._recorder.write('store', 'record', { topic, key, value });
  }

  /** The newest value of a key, parsed; undefined if there is none. */
  newest(topic, key) {
    const record = this._records(topic).findLast((one) => one.key === key);
    return record === undefined || record.value.length === 0 ? undefined : JSON.parse(record.value.toString());
  }

  _records(topic) {
    const records = this._topics.get(topic) ?? [];
    this._topics.set(topic, records);
    return records;
  }

  _append(topic, key, value) {
    const records = this._records(topic);
    records.push({ key, value });
    for (const read of [...this._waiting]) {
      if (read.topic === topic) {
        read.answer();
      }
    }
    return records.length - 1;
  }

  _handle(request, response, path, rewrite) {
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const topic = query.get('topic') ?? '';
    response.on('error', () => undefined);
    if (url.pathname === '/log-newest') {
      this._answerNewest(topic, response, rewrite);
    } else if (url.pathname === '/log-read') {
      this._answerRead(topic, Number(query.get('from')), Number(query.get('wait_ms')), response, { path, rewrite });
    } else if (url.pathname === '/log-append') {
      this._answerAppend(topic, query.get('at'), request, response);
    } else {
      sendJson(response, 404, {});
    }
  }

  _answerNewest(topic, response, rewrite) {
    const newest = new Map();
    this._records(topic).forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { key, value: rewritten(value, rewrite).toString('base64'), offset });
      }
    });
    const items = [...newest.values()];
    sendJson(response, 200, { items, truncated: false, end: this._records(topic).length });
  }

  _answerRead(topic, from, waitMs, response, { path, rewrite }) {
    const answer = () => {
      clearTimeout(timer);
      this._waiting.delete(read);
      if (path.isCut) {
        return;
      }
      const header = Buffer.alloc(16);
      header.writeBigUInt64BE(BigInt(this._records(topic).length), 0);
      const records = this._records(topic).slice(from);
      const shown = records.map(({ key, value }) => ({ key, value: rewritten(value, rewrite) }));
      response.end(Buffer.concat([header, ...shown.map(encodeRecord)]));
    };
    const read = { topic, answer };
    const timer = setTimeout(answer, waitMs);
    if (from < this._records(topic).length) {
      answer();
      return;
    }
    this._waiting.add(read);
    response.on('close', () => {
      clearTimeout(timer);
      this._waiting.delete(read);
    });
  }

  _answerAppend(topic, at, request, response) {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', () => {
      const records = this._records(topic);
      if (at !== null && Number(at) !== records.length) {
        sendJson(response, 412, { end: records.length });
        return;
      }
      const body = Buffer.concat(parts);
      const keyEnd = 5 + body[4];
      const key = body.subarray(5, keyEnd).toString();
      const offset = this._append(topic, key, body.subarray(keyEnd));
      sendJson(response, 200, { offset, end: offset + 1 });
    });
  }
}

function rewritten(value, rewrite) {
  return Buffer.from(rewrite(value.toString()));
}

function encodeRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(1 + keyBytes.length + value.length);
  return Buffer.concat([length, Buffer.from([keyBytes.length]), keyBytes, value]);
}

/** Sends a JSON answer with its length. */
export function sendJson(response, status, body, headers = {}) {
  const payload = Buffer.from(JSON.stringify(body));
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': payload.length, ...headers });
  response.end(payload);
}
