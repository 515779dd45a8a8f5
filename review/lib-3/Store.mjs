import { Buffer } from 'node:buffer';
import { clearTimeout } from 'node:timers';
import * as http from 'node:http';

/**
 * Stand-in of the platform's store: keyed topics with one partition, as PROTOCOL.md describes them. It loses nothing, and a
 * read that waits is answered as soon as a record is there.
 */
export class Store {
  #topics = new Map();
  #waiting = new Set();
  #server = http.createServer((request, response) => this.#handle(request, response));
  /** While true, all calls get 503, and nothing is done. */
  isDown = false;
  /** Ports of machines that are turned away: their calls get 503, and nothing is done. */
  refusedPorts = new Set();
  #otherServers = [];
  /** Texts that are replaced in what gateways write, such as an address by that of a proxy before it. */
  replacements = new Map();

  async open() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
  }

  /** Opens a further port for one machine, which the store can turn away. */
  async openPort() {
    const server = http.createServer((request, response) => this.#handle(request, response));
    this.#otherServers.push(server);
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    return server.address().port;
  }

  close() {
    for (const server of [this.#server, ...this.#otherServers]) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a record as the operator or a replica does; undefined removes the key. */
  put(topic, key, value) {
    this.#records(topic).push({ key, value: Buffer.from(value === undefined ? '' : JSON.stringify(value)) });
    this.#wake();
  }

  /** Newest value of a key, as text; undefined if there is none. */
  newest(topic, key) {
    return this.#records(topic)
      .findLast((record) => record.key === key)
      ?.value.toString();
  }

  #records(topic) {
    const records = this.#topics.get(topic) ?? [];
    this.#topics.set(topic, records);
    return records;
  }

  #wake() {
    for (const answer of [...this.#waiting]) {
      answer();
    }
  }

  #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic');
    response.setHeader('Store-Era', '1');
    if (this.isDown || this.refusedPorts.has(request.socket.localPort)) {
      request.resume();
      sendJson(response, 503, { error: 'busy' });
    } else if (url.pathname === '/log-newest') {
      this.#answerNewest(topic, response);
    } else if (url.pathname === '/log-read') {
      this.#answerRead(topic, url.searchParams, response);
    } else if (url.pathname === '/log-append') {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('end', () => this.#append(topic, url.searchParams.get('at'), Buffer.concat(parts), response));
    } else {
      sendJson(response, 404, {});
    }
  }

  #answerNewest(topic, response) {
    const newest = new Map();
    for (const [offset, { key, value }] of this.#records(topic).entries()) {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { key, value: value.toString('base64'), offset });
      }
    }
    sendJson(response, 200, { items: [...newest.values()], truncated: false, end: this.#records(topic).length });
  }

  #answerRead(topic, query, response) {
    const from = Number(query.get('from'));
    const answer = () => {
      clearTimeout(timer);
      this.#waiting.delete(answerIfNew);
      const records = this.#records(topic);
      const head = Buffer.alloc(16);
      head.writeBigUInt64BE(BigInt(records.length), 0);
      response.end(Buffer.concat([head, ...records.slice(from).map(encodeRecord)]));
    };
    const answerIfNew = () => {
      if (this.#records(topic).length > from) {
        answer();
      }
    };
    const timer = setTimeout(answer, Number(query.get('wait_ms') ?? 0));
    this.#waiting.add(answerIfNew);
    response.once('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(answerIfNew);
    });
    answerIfNew();
  }

  #replace(value) {
    let text = value.toString();
    for (const [before, after] of this.replacements) {
      text = text.replaceAll(before, after);
    }
    return Buffer.from(text);
  }

  #append(topic, at, body, response) {
    const records = this.#records(topic);
    if (at !== null && Number(at) !== records.length) {
      sendJson(response, 412, { end: records.length });
      return;
    }
    const offset = records.length;
    for (let position = 0; position < body.length;) {
      const end = position + 4 + body.readUInt32BE(position);
      const keyEnd = position + 5 + body[position + 4];
      const key = body.subarray(position + 5, keyEnd).toString();
      records.push({ key, value: this.#replace(body.subarray(keyEnd, end)) });
      position = end;
    }
    sendJson(response, 200, { offset, end: records.length });
    this.#wake();
  }
}

function encodeRecord({ key, value }) {
  const head = Buffer.alloc(5);
  head.writeUInt32BE(1 + Buffer.byteLength(key) + value.length);
  head[4] = Buffer.byteLength(key);
  return Buffer.concat([head, Buffer.from(key), value]);
}

function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text) });
  response.end(text);
}
