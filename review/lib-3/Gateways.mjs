import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';

const root = url.fileURLToPath(new URL('../..', import.meta.url));
const readyTimeoutMs = 15_000;

/** The settings of a small deployment, as DEPLOY.md shows them. */
const bounds = {
  grace_s: 8,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_slack: 56,
  lease_ms: 3000,
};
const limits = { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 };

/** Gateways as separate processes with the command of the deploy file, on loopback addresses. */
export class Gateways {
  #directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
  list = [];

  constructor(storePort, count, beatMs = 1200, zones = ['liberia-a', 'nicoya-b', 'canas-c'], extraBounds = {}) {
    this.storePort = storePort;
    this.count = count;
    this.beatMs = beatMs;
    this.zones = zones;
    this.extraBounds = extraBounds;
  }

  /** Starts all gateways and waits until each says that it is ready. */
  async start() {
    await this.prepare();
    await this.launchAll();
  }

  /** Chooses the addresses of all gateways. */
  async prepare() {
    for (let index = 0; index < this.count; index += 1) {
      const [front, ready, control, metrics] = await freePorts(4);
      const name = `front-${this.zones[index % this.zones.length]}-${index + 1}`;
      const host = `127.0.1.${index + 1}`;
      this.list.push({ name, index, host, ports: { front, ready, control, metrics }, output: '' });
    }
  }

  async launchAll() {
    for (const gateway of this.list) {
      this.launch(gateway, true);
    }
    await Promise.all(this.list.map((gateway) => this.awaitReady(gateway)));
  }

  /** Addresses of the first three machines, for the settings of a gateway. */
  seedsOf() {
    return this.list.slice(0, 3).map(controlAddress);
  }

  /** Address of the store, for the settings of a gateway. */
  storeOf() {
    return `127.0.0.1:${this.storePort}`;
  }

  launch(gateway, bootstrap) {
    const file = path.join(this.#directory, `${gateway.name}.ini`);
    fs.writeFileSync(file, this.#settings(gateway, bootstrap));
    const child = childProcess.spawn('node', ['--max-semi-space-size=2', 'target/gateway.cjs'], {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '/tmp', JAYHAVEN_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    gateway.child = child;
    gateway.hasExited = false;
    child.stdout.on('data', (bytes) => (gateway.output += bytes));
    child.stderr.on('data', (bytes) => (gateway.output += bytes));
    gateway.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        gateway.hasExited = true;
        resolve({ code, signal });
      });
    });
  }

  async awaitReady(gateway, timeoutMs = readyTimeoutMs) {
    const untilMs = Date.now() + timeoutMs;
    while (Date.now() < untilMs && !gateway.hasExited) {
      if ((await readinessStatus(gateway)) === 200) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`${gateway.name} did not become ready`);
  }

  /** The gateway whose record of the lease is the newest, from what it writes to the store. */
  leader(store) {
    const text = store.newest('keyed.jayhaven', 'lease');
    const holder = text === undefined ? undefined : JSON.parse(text).holder;
    return this.list.find(({ name }) => name === holder);
  }

  /** Ends all processes that were started. */
  async close() {
    for (const { child, hasExited } of this.list) {
      if (child !== undefined && !hasExited) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
    await Promise.all(this.list.map(({ exited }) => exited));
    fs.rmSync(this.#directory, { recursive: true, force: true });
  }

  #settings(gateway, bootstrap) {
    const zone = this.zones[gateway.index % this.zones.length];
    const values = {
      node: gateway.name,
      zone,
      ip: gateway.host,
      bootstrap,
      seeds: this.seedsOf(gateway),
      beat_ms: this.beatMs,
      port_range: [gateway.ports.metrics, gateway.ports.metrics],
      listen: {
        front: `${gateway.host}:${gateway.ports.front}`,
        ready: `${gateway.host}:${gateway.ports.ready}`,
        control: controlAddress(gateway),
      },
      limits,
      bounds: { ...bounds, ...this.extraBounds },
      provider: { address: this.storeOf(gateway) },
    };
    const template = fs.readFileSync(path.join(root, 'deploy/gateway.ini.template'), 'utf8');
    return template.replace(/\{\{([\w.]+)\}\}/g, (_match, name) => {
      const value = name.split('.').reduce((table, key) => table?.[key], values);
      return value === undefined ? '' : String(value);
    });
  }
}

/** Status of the readiness check; undefined without an answer. */
function readinessStatus({ host, ports }) {
  return new Promise((resolve) => {
    const request = http.get({ host, port: ports.ready, path: '/ready', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    request.on('error', () => resolve(undefined));
  });
}

export function controlAddress({ host, ports }) {
  return `${host}:${ports.control}`;
}

/** Ports below those that the system gives to outgoing connections, so that none of these takes one meanwhile. */
const portRange = { first: 12_000, count: 18_000 };
const taken = new Set();

/** Free ports of the loopback address. */
export async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port = portRange.first + Math.floor(Math.random() * portRange.count);
    if (!taken.has(port) && (await isFree(port))) {
      taken.add(port);
      ports.push(port);
    }
  }
  return ports;
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
