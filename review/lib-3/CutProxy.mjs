import { Buffer } from 'node:buffer';
import * as fs from 'node:fs';
import * as net from 'node:net';

/** First retransmission of bytes that are not acknowledged, milliseconds; each further one comes after twice the time. */
const firstRetransmissionMs = 200;

/**
 * A link of one machine or of all machines that can be cut. Bytes that were sent on a connection from before the cut are held
 * up: they arrive with the first retransmission of TCP after the cut has healed, unless their sender has reset the
 * connection. A connection that is opened during the cut is never established, so its bytes are lost.
 */
export class CutProxy {
  #target;
  #pairs = new Set();
  /** Process whose connections are cut; `all` for those of every process; undefined while the link is sound. */
  #cutProcess;
  #server = net.createServer({ allowHalfOpen: true }, (socket) => this.#accept(socket));

  /** `replacements` are texts that are replaced in what passes, such as an address by that of a link to it. */
  constructor(host, port, replacements = new Map()) {
    this.#target = { host, port };
    this.replacements = replacements;
  }

  async open(host = '127.0.0.1') {
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** Cuts the link for a process, given by its id, or for `all`. */
  cut(processId) {
    this.#cutProcess = processId;
    const sockets = processId === 'all' ? undefined : socketsOf(processId);
    const inodes = sockets && this.#clientInodes();
    for (const pair of this.#pairs) {
      pair.isAffected = sockets === undefined || sockets.has(inodes.get(pair.remotePort));
    }
  }

  heal() {
    this.#cutProcess = undefined;
  }

  close() {
    this.#server.close();
    for (const { client, target } of this.#pairs) {
      client.destroy();
      target.destroy();
    }
  }

  #accept(client) {
    client.on('error', () => undefined);
    client.setNoDelay(true);
    if (this.#isCutFor(client.remotePort)) {
      client.resume();
      client.on('end', () => client.destroy());
      return;
    }
    const target = net.connect({ ...this.#target, allowHalfOpen: true });
    target.on('error', () => undefined);
    target.setNoDelay(true);
    const isCut = () => pair.isAffected && this.#cutProcess !== undefined;
    const pair = { client, target, remotePort: client.remotePort, isAffected: false, isCut };
    this.#pairs.add(pair);
    client.once('close', () => this.#pairs.delete(pair));
    forward(pair, client, target, this.replacements);
    forward(pair, target, client, this.replacements);
  }

  #isCutFor(remotePort) {
    if (this.#cutProcess === undefined || this.#cutProcess === 'all') {
      return this.#cutProcess === 'all';
    }
    return socketsOf(this.#cutProcess).has(this.#clientInodes().get(remotePort));
  }

  /** Inodes of the clients' ends of the connections to this link, by their ports. */
  #clientInodes() {
    const lines = fs.readFileSync('/proc/self/net/tcp', 'utf8').trim().split('\n').slice(1);
    const connections = lines.map((line) => line.trim().split(/\s+/));
    const { port } = this.#server.address();
    const ends = connections.filter(([, , remote]) => portOf(remote) === port);
    return new Map(ends.map((fields) => [portOf(fields[1]), fields[9]]));
  }
}

function portOf(address) {
  return Number.parseInt(address.split(':')[1], 16);
}

/** Passes on what `from` sends. What is held up keeps its order. */
function forward(pair, from, to, replacements) {
  let held = [];
  let isHolding = false;
  const deliver = () => {
    const actions = held;
    held = [];
    isHolding = false;
    actions.forEach((action) => action());
  };
  const pass = (action) => {
    if (!pair.isCut() && !isHolding) {
      action();
      return;
    }
    held.push(action);
    if (!isHolding) {
      isHolding = true;
      retransmit(pair, Date.now(), firstRetransmissionMs, deliver);
    }
  };
  from.on('data', (bytes) => pass(() => to.write(replaceAll(bytes, replacements))));
  from.on('end', () => pass(() => to.end()));
  from.on('error', () => {
    // A reset: what its sender has not got through is lost.
    held = [];
    pass(() => to.resetAndDestroy());
  });
}

function replaceAll(bytes, replacements) {
  let text = replacements.size === 0 ? '' : bytes.toString('latin1');
  const found = [...replacements].filter(([before]) => text.includes(before));
  for (const [before, after] of found) {
    text = text.replaceAll(before, after);
  }
  return found.length === 0 ? bytes : Buffer.from(text, 'latin1');
}

/** Calls `deliver` with the first retransmission after the cut of bytes that were sent at a time. */
function retransmit(pair, sentMs, afterMs, deliver) {
  const attempt = () => {
    if (pair.isCut()) {
      retransmit(pair, sentMs, afterMs * 2 + firstRetransmissionMs, deliver);
    } else {
      deliver();
    }
  };
  setTimeout(attempt, Math.max(sentMs + afterMs - Date.now(), 0));
}

/** Inodes of the sockets of a process that the test started. */
function socketsOf(processId) {
  const directory = `/proc/${processId}/fd`;
  const links = fs.readdirSync(directory).map((name) => {
    try {
      return fs.readlinkSync(`${directory}/${name}`);
    } catch {
      return '';
    }
  });
  return new Set(links.flatMap((link) => /^socket:\[(\d+)\]$/.exec(link)?.[1] ?? []));
}
