/** A stand-in for the platform's store: keyed topics with reads that wait, newest records and conditional appends. */
import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import * as timers from 'node:timers';

/** Time for which the store keeps an idle connection open, milliseconds. */
const idleTimeoutMs = 60_000;

export class Store {
  #topics = new Map();
  #waiting = new Map();
  #server;
  /** Called with the path and query of each call and the address of its caller. */
  onCall = () => undefined;

  async open(host = '127.0.0.1') {
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response);
    });
    this.#server.keepAliveTimeout = idleTimeoutMs;
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a record; an undefined value removes the key. */
  put(topic, key, value) {
    const text = value === undefined ? '' : typeof value === 'string' ? value : JSON.stringify(value);
    this.#append(topic, { key, value: Buffer.from(text) });
  }

  /** The newest value of a key, parsed; undefined if there is none. */
  newest(topic, key) {
    const record = this.#records(topic).findLast((one) => one.key === key);
    return record === undefined || record.value.length === 0 ? undefined : JSON.parse(record.value.toString());
  }

  #records(topic) {
    if (!this.#topics.has(topic)) {
      this.#topics.set(topic, []);
    }
    return this.#topics.get(topic);
  }

  #append(topic, record) {
    this.#records(topic).push(record);
    for (const answer of [...this.#waiting.values()]) {
      answer();
    }
  }

  #handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const topic = searchParams.get('topic');
    this.onCall(request.url, request.socket.remoteAddress);
    if (pathname === '/log-newest') {
      this.#newest(topic, response);
    } else if (pathname === '/log-read') {
      this.#read(topic, searchParams, response);
    } else if (pathname === '/log-append') {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#write(topic, searchParams.get('at'), Buffer.concat(chunks), response));
    } else {
      sendJson(response, 404, {});
    }
  }

  #newest(topic, response) {
    const newest = new Map();
    for (const [offset, { key, value }] of this.#records(topic).entries()) {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { key, value: value.toString('base64'), offset });
      }
    }
    sendJson(response, 200, { items: [...newest.values()], truncated: false, end: this.#records(topic).length });
  }

  #read(topic, query, response) {
    const from = Number(query.get('from'));
    const records = this.#records(topic);
    const answer = () => {
      timers.clearTimeout(timer);
      this.#waiting.delete(response);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      response.end(Buffer.concat([head, ...records.slice(from).map(encodeRecord)]));
    };
    const timer = setTimeout(answer, Number(query.get('wait_ms') ?? 0));
    if (from < records.length) {
      answer();
      return;
    }
    this.#waiting.set(response, () => from < records.length && answer());
    response.once('close', () => {
      timers.clearTimeout(timer);
      this.#waiting.delete(response);
    });
  }

  #write(topic, at, body, response) {
    const records = this.#records(topic);
    if (at !== null && Number(at) !== records.length) {
      sendJson(response, 412, { end: records.length });
      return;
    }
    const keyLength = body[4];
    const key = body.subarray(5, 5 + keyLength).toString();
    const offset = records.length;
    this.#append(topic, { key, value: body.subarray(5 + keyLength) });
    sendJson(response, 200, { offset, end: offset + 1 });
  }
}

export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  response.end(text);
}

function encodeRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const length = Buffer.alloc(5);
  length.writeUInt32BE(1 + keyBytes.length + value.length);
  length[4] = keyBytes.length;
  return Buffer.concat([length, keyBytes, value]);
}
