import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as path from 'node:path';
import * as process from 'node:process';
import * as url from 'node:url';

const repository = url.fileURLToPath(new URL('../..', import.meta.url));

/** The bounds of the small deployments. */
const bounds = { grace_s: 8, lease_ms: 3000, budget_window_s: 10, budget_ratio: 0.2, budget_slack: 56 };

/**
 * Ports for gateways: below those that the system gives to outgoing connections and to the stand-ins. Each process of a case takes
 * them one after the other from a block of its own, so that cases that run side by side take none of each other's.
 */
const ports = { first: 12_000, last: 30_000, block: 100 };
let nextPort = ports.first + (process.pid % ((ports.last - ports.first) / ports.block)) * ports.block;

/** A free port of the loopback address, another one with each call. */
export async function freePort() {
  for (;;) {
    const port = nextPort;
    nextPort += 1;
    if (await isFree(port)) {
      return port;
    }
  }
}

function isFree(port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** One gateway of the deploy file as a process, with settings from the template as the platform fills it in. */
export class Gateway {
  constructor(name, recorder, directory) {
    this.name = name;
    this._recorder = recorder;
    this._directory = directory;
  }

  async choosePorts() {
    this.ports = { front: await freePort(), ready: await freePort(), control: await freePort(), own: await freePort() };
  }

  /** Starts the process. `seeds` are the control addresses of other gateways. */
  start({ storePort, seeds, bootstrap }) {
    const file = path.join(this._directory, `${this.name}.ini`);
    const template = fs.readFileSync(path.join(repository, 'deploy/gateway.ini.template'), 'utf8');
    const host = '127.0.0.1';
    const values = {
      node: this.name,
      zone: 'liberia-a',
      'bounds.grace_s': bounds.grace_s,
      bootstrap,
      'listen.front': `${host}:${this.ports.front}`,
      'listen.ready': `${host}:${this.ports.ready}`,
      'listen.control': `${host}:${this.ports.control}`,
      ip: host,
      'port_range.0': this.ports.own,
      'limits.cpu_share': 0.675,
      'limits.cores': 1,
      'limits.memory_mb': 350,
      'limits.max_fds': 4100,
      seeds: seeds.join(','),
      'provider.address': `${host}:${storePort}`,
      beat_ms: 1200,
      'bounds.lease_ms': bounds.lease_ms,
      'bounds.strict_revoke': '',
      'bounds.revoke_ms': '',
      'bounds.budget_window_s': bounds.budget_window_s,
      'bounds.budget_ratio': bounds.budget_ratio,
      'bounds.budget_slack': bounds.budget_slack,
    };
    const text = template.replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
      if (!(name in values)) {
        throw new Error(`the template has a new field: ${name}`);
      }
      return String(values[name]);
    });
    fs.writeFileSync(file, text);
    const { PATH, HOME, LANG } = process.env;
    const environment = { PATH, HOME, LANG, JAYHAVEN_BOOT: file };
    const log = fs.openSync(path.join(this._directory, `${this.name}.log`), 'a');
    this._process = childProcess.spawn('node', ['--max-semi-space-size=2', 'target/gateway.cjs'], {
      cwd: repository,
      env: environment,
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.hasExited = false;
    this._process.once('exit', (code, signal) => {
      this.hasExited = true;
      this._recorder.write(this.name, 'process ended', { code, signal });
    });
    this._recorder.write(this.name, 'started', { pid: this._process.pid, ports: this.ports });
  }

  signal(signal) {
    this._recorder.write(this.name, `gets ${signal}`);
    this._process.kill(signal);
  }

  /** Ends the process; a stopped one as well. */
  async end() {
    if (this._process === undefined || this.hasExited) {
      return;
    }
    const exited = new Promise((resolve) => this._process.once('exit', resolve));
    this._process.kill('SIGKILL');
    await exited;
  }

  /** Waits until the readiness check succeeds; false if it does not in time. */
  async awaitReady(limitMs = 15_000) {
    const untilMs = Date.now() + limitMs;
    while (Date.now() < untilMs) {
      if ((await this._readyStatus()) === 200) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  _readyStatus() {
    return new Promise((resolve) => {
      const request = http.get(
        { host: '127.0.0.1', port: this.ports.ready, path: '/ready', agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      request.on('error', () => resolve(undefined));
    });
  }
}

export function sleep(durationMs) {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
