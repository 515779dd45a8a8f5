import * as path from 'node:path';
import * as common from '@jayhaven/common';
import { ManagedProcess } from './ManagedProcess.js';
import type { Flags } from './Types.js';

const script = path.resolve(import.meta.dirname, '..', '..', '..', 'standins', 'dist', 'main.js');

/** Time limit of a request to a control interface, milliseconds. */
const controlTimeoutMs = 10_000;
/** Time limit of a request for records, milliseconds; shorter, so that a paused stand-in does not delay the others. */
const recordsTimeoutMs = 2_000;

/** A stand-in that runs as a process. */
export class StandInHandle implements AsyncDisposable {
  private _process: ManagedProcess;
  private _ports: { readonly listening: number; readonly control: number };

  /** Starts the process; `waitUntilReady` must follow. */
  public constructor(
    public readonly name: string,
    private readonly _kind: string,
    private readonly _flags: Flags,
    private readonly _client: common.JsonHttpClient,
  ) {
    this._process = new ManagedProcess(name, script, commandLine(_kind, _flags));
    this._ports = { listening: 0, control: 0 };
  }

  public get process(): ManagedProcess {
    return this._process;
  }

  public get port(): number {
    return this._ports.listening;
  }

  /** `ip:port`. */
  public get address(): string {
    return `127.0.0.1:${this._ports.listening}`;
  }

  public get url(): string {
    return `http://${this.address}`;
  }

  /** Waits until the stand-in listens. */
  public async waitUntilReady(): Promise<void> {
    const line = await this._process.firstLine();
    const listening = line.listening ?? 0;
    this._ports = { listening, control: line.control ?? listening };
  }

  /** Restarts the stand-in on the same port without its former state. */
  public async restart(): Promise<void> {
    await this._process[Symbol.asyncDispose]();
    const flags = { ...this._flags, port: this._ports.listening };
    this._process = new ManagedProcess(this.name, script, commandLine(this._kind, flags));
    await this.waitUntilReady();
  }

  /** Sets faults, or reads the state if no body is given. */
  public control(body?: unknown, method: 'POST' | 'PUT' = 'POST'): Promise<unknown> {
    return this.request(body === undefined ? 'GET' : method, '/control', body);
  }

  /** Reads the observer's records. */
  public records(query = ''): Promise<unknown> {
    return this.request('GET', `/control/records${query}`, undefined, recordsTimeoutMs);
  }

  /** Calls the control interface; throws if it does not answer 200. */
  public async request(
    method: 'GET' | 'POST' | 'PUT',
    route: string,
    body?: unknown,
    timeoutMs = controlTimeoutMs,
  ): Promise<unknown> {
    const outcome = await this._client.request({
      method,
      url: `http://127.0.0.1:${this._ports.control}${route}`,
      ...(body === undefined ? {} : { body }),
      timeoutMs,
    });
    if (!outcome.ok || outcome.value.status !== 200) {
      throw new Error(`${method} ${route} at ${this.name} failed: ${JSON.stringify(outcome)}`);
    }
    return outcome.value.body;
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this._process[Symbol.asyncDispose]();
  }
}

function commandLine(kind: string, flags: Flags): readonly string[] {
  return [kind, ...Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)])];
}
