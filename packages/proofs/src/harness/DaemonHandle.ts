import * as path from 'node:path';
import * as common from '@jayhaven/common';
import { ManagedProcess, waitUntil } from './ManagedProcess.js';
import type { StandInHandle } from './StandInHandle.js';

/** Daemon program that this workspace builds. */
export const workspaceDaemon = path.resolve(import.meta.dirname, '..', '..', '..', 'daemon', 'dist', 'main.js');

/** Time limit of a readiness request, milliseconds. */
const readinessTimeoutMs = 2_000;

/** Identity of a daemon in a cluster. */
export interface DaemonIdentity {
  readonly name: string;
  readonly vm: string;
  readonly failureDomain: string;
  readonly ports: { readonly callers: number; readonly peers: number; readonly operators: number };
  readonly settingsFile: string;
}

/** Fault proxies of a daemon, where the cluster has them. */
export interface DaemonProxies {
  readonly log?: StandInHandle;
  readonly vmList?: StandInHandle;
  readonly peers?: StandInHandle;
}

/** A daemon that runs as a process, and can be started again with the same settings. */
export class DaemonHandle implements AsyncDisposable {
  private readonly _endedProcesses: ManagedProcess[] = [];
  private _process: ManagedProcess | undefined;

  public constructor(
    public readonly identity: DaemonIdentity,
    public readonly proxies: DaemonProxies,
    private readonly _client: common.JsonHttpClient,
    private readonly _script: string = workspaceDaemon,
  ) {}

  public get name(): string {
    return this.identity.name;
  }

  /** Base URL for callers. */
  public get callersUrl(): string {
    return `http://127.0.0.1:${this.identity.ports.callers}`;
  }

  /** Base URL for operators. */
  public get operatorsUrl(): string {
    return `http://127.0.0.1:${this.identity.ports.operators}`;
  }

  public get process(): ManagedProcess {
    if (!this._process) {
      throw new Error(`daemon ${this.name} was not started`);
    }
    return this._process;
  }

  /** Whether the process was started and has not ended. */
  public get isRunning(): boolean {
    return this._process !== undefined && this._process.endedMs === undefined;
  }

  /** Standard error of every process of this daemon, oldest first. */
  public get errorOutput(): string {
    const all = [...this._endedProcesses, ...(this._process ? [this._process] : [])];
    return all.map((started) => started.errorOutput).join(`\n--- restart of ${this.name} ---\n`);
  }

  /** Starts the process; it must not be running. */
  public start(): void {
    if (this._process) {
      if (this._process.endedMs === undefined) {
        throw new Error(`daemon ${this.name} is running`);
      }
      this._endedProcesses.push(this._process);
    }
    this._process = new ManagedProcess(this.name, this._script, ['--settings', this.identity.settingsFile]);
  }

  /** Waits until the daemon reports that it is ready. */
  public async waitUntilReady(timeoutMs = 20_000): Promise<void> {
    await waitUntil(`${this.name} is ready`, timeoutMs, async () => {
      if (this.process.endedMs !== undefined) {
        throw new Error(`daemon ${this.name} ended: ${this.errorOutput.slice(-4000)}`);
      }
      return this.isReady();
    });
  }

  /** Sends `GET /readyz`. */
  public async isReady(): Promise<boolean> {
    const request = { method: 'GET', url: `${this.callersUrl}/readyz`, timeoutMs: readinessTimeoutMs } as const;
    const outcome = await this._client.request(request);
    return outcome.ok && outcome.value.status === 200;
  }

  public kill(): Promise<void> {
    return this.process.kill();
  }

  public pause(): void {
    this.process.pause();
  }

  public resume(): void {
    this.process.resume();
  }

  /** Sends SIGTERM and returns the exit code; `null` if the daemon had to be killed. */
  public stop(timeoutMs?: number): Promise<number | null> {
    return this.process.stop(timeoutMs);
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._process?.[Symbol.asyncDispose]();
  }
}
