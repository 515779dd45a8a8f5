import { clearTimeout, setTimeout } from 'node:timers';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import { Gateway, sleep } from './Gateway.mjs';
import { Proxy } from './Proxy.mjs';
import { Recorder } from './Recorder.mjs';
import { Store } from './Store.mjs';

/** Longest time of a case, milliseconds. */
const caseLimitMs = 110_000;

/** Thrown where a case could not run, so that nothing is known of the rule. */
export class CannotRun extends Error {}

/** The models of the site: two as on the small site's sheet. */
export const models = [
  { name: 'm0', weight_size: 34_300, load_s: 6, adapters: 28, adapter_mb: 40, warm_s: 0.28, disk_s: 0.36 },
  { name: 'm1', weight_size: 72_700, load_s: 6, adapters: 0, adapter_mb: 66, warm_s: 0.4, disk_s: 0.52 },
];

export const modelsByName = new Map(models.map((model) => [model.name, model]));

const engine = {
  slots: 32,
  kv_capacity: 91_113,
  kv_token_bytes: 327_680,
  link_mbps: 260_000,
  moves: true,
  backups: true,
  stride: 6,
  max_count: 12,
  host_mb: 140_000,
  disk_mb: 830_000,
  pin_ms: 4_000,
  hold_ms: 2_000,
  handle_s: 5,
  weight_size: 200_000,
  adapter_slots: 8,
  loads_per_s: 4.5,
};

function route(name, fields) {
  const shared = { kind: 'streaming', priority: 1, service: 'llm', sticky: true, gap_aim_ms: 200 };
  return { name, hostname: 'tents.example', path_prefix: `/${name}/`, ...shared, ...fields };
}

/** The configuration: the three streaming routes of the small site's sheet. */
export const configuration = {
  version: 7,
  routes: [
    route('walk', { timeout_ms: 12_000, latency_target_ms: 250, attempts: 1, resumable: false }),
    route('brief', { timeout_ms: 20_000, latency_target_ms: 2_000, attempts: 2, resumable: true }),
    route('count', { timeout_ms: 4_000, latency_target_ms: 250, attempts: 1, resumable: false, priority: 0 }),
  ],
  services: [{ name: 'llm', health_path: '/health', max_conns: 240, engine: { ...engine, models } }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

/** A store, gateways as processes, and what else a case opens. Everything ends with the case. */
export class Site {
  constructor(directory) {
    this.recorder = new Recorder(directory);
    this._temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.store = new Store(this.recorder);
    this.gateways = [];
    this.replicas = [];
    this._closers = [];
  }

  async openStore() {
    await this.store.open();
    this.store.put('keyed.op', 'config', configuration);
  }

  async openReplica(replica, held) {
    this.replicas.push(replica);
    await replica.open(held);
  }

  onClose(closer) {
    this._closers.push(closer);
  }

  /** Starts gateways g1, g2, ... at the same time and waits until they are ready. */
  async startGateways(count) {
    for (let index = 1; index <= count; index += 1) {
      await this._addGateway();
    }
    this.seeds = this.gateways.slice(0, 3).map(({ ports }) => `127.0.0.1:${ports.control}`);
    for (const gateway of this.gateways) {
      gateway.start({ storePort: this.store.port, seeds: this.seeds, bootstrap: true });
    }
    for (const gateway of this.gateways) {
      await requireReady(gateway);
    }
  }

  /**
   * Adds a gateway whose paths to the store and to the other gateways can be cut, once one of them leads. Its paths to consumers
   * and replicas stay.
   */
  async addCuttableGateway() {
    const proxies = new Map();
    const rewrite = (text) =>
      [...proxies].reduce(
        (changed, [port, proxy]) => changed.replaceAll(`127.0.0.1:${port}`, `127.0.0.1:${proxy.port}`),
        text,
      );
    for (const { ports } of this.gateways) {
      const proxy = new Proxy(ports.control, rewrite);
      await proxy.open();
      proxies.set(ports.control, proxy);
      this.onClose(() => proxy.close());
    }
    const storePath = await this.store.openPort(rewrite);
    const gateway = await this._addGateway();
    gateway.start({ storePort: storePath.port, seeds: this.seeds.map(rewrite), bootstrap: false });
    await requireReady(gateway);
    gateway.cut = () => {
      this.recorder.write(gateway.name, 'is cut off from the store and the other gateways');
      storePath.isCut = true;
      proxies.forEach((proxy) => proxy.cut());
    };
    gateway.heal = () => {
      this.recorder.write(gateway.name, 'is no longer cut off');
      storePath.isCut = false;
      proxies.forEach((proxy) => proxy.heal());
    };
    return gateway;
  }

  async _addGateway() {
    const gateway = new Gateway(`g${this.gateways.length + 1}`, this.recorder, this._temporary);
    await gateway.choosePorts();
    this.gateways.push(gateway);
    return gateway;
  }

  /** The gateway whose name the lease record states; undefined without one. */
  leader() {
    const lease = this.store.newest('keyed.jayhaven', 'lease');
    return this.gateways.find(({ name }) => name === lease?.holder);
  }

  async awaitLeader(limitMs = 15_000) {
    const untilMs = Date.now() + limitMs;
    while (this.leader() === undefined) {
      if (Date.now() > untilMs) {
        throw new CannotRun('no gateway leads');
      }
      await sleep(50);
    }
    return this.leader();
  }

  async close() {
    await Promise.all(this.gateways.map((gateway) => gateway.end()));
    for (const gateway of this.gateways) {
      this._keepLog(gateway);
    }
    this._closers.forEach((closer) => closer());
    this.replicas.forEach((replica) => replica.close());
    this.store.close();
    fs.rmSync(this._temporary, { recursive: true, force: true });
  }

  /** The logs of the gateways stay if their folder is named, for the search of a cause. */
  _keepLog({ name }) {
    const folder = process.env.KEEP_LOGS;
    const file = path.join(this._temporary, `${name}.log`);
    if (folder !== undefined && fs.existsSync(file)) {
      fs.mkdirSync(folder, { recursive: true });
      fs.copyFileSync(file, path.join(folder, `${name}.log`));
    }
  }
}

async function requireReady(gateway) {
  if (!(await gateway.awaitReady())) {
    throw new CannotRun(`${gateway.name} is not ready`);
  }
}

/** True unless the case runs without its disruption. */
export const isTrouble = process.env.TROUBLE !== '0';

/** Runs a case: `play` returns true if the rule held. Exits with 0, with 1 if the rule was broken, or with 2. */
export async function runCase(directory, play) {
  const site = new Site(directory);
  let code = 2;
  const limit = setTimeout(() => {
    site.recorder.say('the case takes too long');
    void site.close().then(() => process.exit(2));
  }, caseLimitMs);
  try {
    await site.openStore();
    const held = await play(site);
    code = held ? 0 : 1;
    site.recorder.say(held ? 'the rule held' : 'the rule was broken');
  } catch (error) {
    site.recorder.say(`could not run: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}`);
  }
  clearTimeout(limit);
  await site.close();
  process.exit(code);
}
