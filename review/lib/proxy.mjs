/** A TCP proxy on a loopback address whose open connections can go silent for good, without a reset, while new ones work. */
import * as net from 'node:net';

export class Proxy {
  #server;
  #pairs = new Set();

  async open(target, host = '127.0.0.1') {
    const [targetHost, targetPort] = target.split(':');
    this.#server = net.createServer((client) => {
      const upstream = net.connect(Number(targetPort), targetHost);
      const pair = { client, upstream, silent: false, usedMs: Date.now() };
      this.#pairs.add(pair);
      forward(pair, client, upstream);
      forward(pair, upstream, client);
      client.once('close', () => this.#pairs.delete(pair));
    });
    await new Promise((resolve) => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** Silences the open connections that have carried nothing for so long; returns their number. */
  silence(idleMs = 0) {
    const pairs = [...this.#pairs].filter((pair) => !pair.silent && Date.now() - pair.usedMs >= idleMs);
    for (const pair of pairs) {
      pair.silent = true;
    }
    return pairs.length;
  }

  close() {
    for (const { client, upstream } of this.#pairs) {
      client.destroy();
      upstream.destroy();
    }
    this.#server.close();
  }
}

function forward(pair, from, to) {
  from.on('data', (bytes) => {
    pair.usedMs = Date.now();
    if (!pair.silent) {
      to.write(bytes);
    }
  });
  from.on('error', () => undefined);
  from.once('close', () => {
    if (!pair.silent || from === pair.client) {
      to.destroy();
    }
  });
}
