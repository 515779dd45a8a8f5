/** Starts the project's gateways with the command and the template of the deploy file. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as path from 'node:path';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';

export const repository = url.fileURLToPath(new URL('../..', import.meta.url));

/** Words of `run` in deploy/system.toml. */
function deployCommand() {
  const text = fs.readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Fills in the placeholders of deploy/gateway.ini.template as the platform does. */
function fillTemplate(fields) {
  const text = fs.readFileSync(path.join(repository, 'deploy/gateway.ini.template'), 'utf8');
  const valueOf = (name) => name.split('.').reduce((object, key) => object?.[key], fields);
  const whole = text.replace(/\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, content) =>
    valueOf(name) ? content : '',
  );
  return whole.replace(/\{\{([a-z_.0-9]+)\}\}/g, (_, name) => {
    const value = valueOf(name);
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** A free port of a loopback address. */
export async function freePort(host) {
  const server = net.createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** One machine with its gateway process, which is started again some time after it ends, a second unless stated. */
export class Machine {
  /** Times at which the process ended before `stop`, milliseconds since 1970. */
  ends = [];
  output = '';
  #process;
  #stopped = false;

  constructor(name, host, ports, store, folder, options) {
    Object.assign(this, { name, host, ports, store, folder, options });
  }

  static async create(index, store, folder, options = {}) {
    const host = `127.0.0.${10 + index}`;
    const [callers, status, peers, metrics] = await Promise.all([0, 1, 2, 3].map(() => freePort(host)));
    return new Machine(`front-a-${index}`, host, { callers, status, peers, metrics }, store, folder, options);
  }

  /** Writes the settings file with the values of the small site files and starts the process. */
  start(seeds, bootstrap) {
    this.seeds = seeds;
    this.ended = false;
    const { host, ports } = this;
    const fields = {
      node: this.name,
      zone: 'zone-a',
      ip: host,
      port_range: [ports.metrics, ports.metrics],
      seeds,
      bootstrap,
      beat_ms: 1200,
      listen: {
        front: `${host}:${ports.callers}`,
        ready: `${host}:${ports.status}`,
        control: `${host}:${ports.peers}`,
      },
      limits: { cpu_share: 0.675, cores: 1 },
      bounds: { grace_s: 8, lease_ms: 3000, budget_window_s: 10, budget_ratio: 0.2, budget_slack: 56 },
      provider: { address: this.options.storeAddress ?? this.store.address },
    };
    const file = path.join(this.folder, `${this.name}.ini`);
    fs.writeFileSync(file, fillTemplate(fields));
    const [command, ...words] = deployCommand();
    const program = command === 'node' ? process.execPath : command;
    const child = childProcess.spawn(program, words, {
      cwd: repository,
      env: { PATH: process.env.PATH, HOME: this.folder, LANG: 'C', JAYHAVEN_BOOT: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#process = child;
    const collect = (bytes) => {
      this.output = (this.output + bytes.toString()).slice(-2_000_000);
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    child.once('exit', (code, signal) => {
      this.ended = true;
      if (!this.#stopped) {
        this.ends.push(Date.now());
        this.onEnd?.(code, signal);
        this.restartTimer = setTimeout(
          () => !this.#stopped && this.start(this.seeds, false),
          this.options.restartMs ?? 1_000,
        );
      }
    });
  }

  /** Id of the process. */
  get pid() {
    return this.#process.pid;
  }

  signal(name) {
    this.#process.kill(name);
  }

  /** True if the readiness check succeeds. */
  isReady() {
    return new Promise((resolve) => {
      const request = http.get({ host: this.host, port: this.ports.status, path: '/ready', agent: false });
      request.on('response', (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('error', () => resolve(false));
    });
  }

  async waitUntilReady(limitMs = 15_000) {
    const untilMs = Date.now() + limitMs;
    while (Date.now() < untilMs) {
      if (await this.isReady()) {
        return;
      }
      await timers.setTimeout(50);
    }
    throw new Error(`${this.name} did not become ready:\n${this.output.slice(-2_000)}`);
  }

  async stop() {
    this.#stopped = true;
    if (this.#process !== undefined && !this.ended) {
      const exited = new Promise((resolve) => this.#process.once('exit', resolve));
      this.#process.kill('SIGKILL');
      await exited;
    }
  }
}
