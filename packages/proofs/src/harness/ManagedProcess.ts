import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as url from 'node:url';

/** Maximum number of characters of an output stream that are kept. */
const maximumErrorCharacters = 512 * 1024;

const preload = url.pathToFileURL(
  path.resolve(import.meta.dirname, '..', '..', 'dist', 'harness', 'exitWithParent.js'),
).href;

const running = new Set<childProcess.ChildProcess>();
process.once('exit', () => {
  for (const child of running) {
    child.kill('SIGKILL');
  }
});

/** A Node.js process of a cluster under test. */
export class ManagedProcess implements AsyncDisposable {
  private readonly _child: childProcess.ChildProcess;
  private readonly _exited: Promise<number | null>;
  private _output = '';
  private _errors = '';
  private _endedMs: number | undefined;

  public constructor(
    public readonly name: string,
    script: string,
    commandLine: readonly string[],
  ) {
    this._child = childProcess.spawn(process.execPath, ['--import', preload, script, ...commandLine], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    running.add(this._child);
    this._child.stdout?.on('data', (chunk: Buffer) => {
      this._output = (this._output + chunk.toString()).slice(0, maximumErrorCharacters);
    });
    this._child.stderr?.on('data', (chunk: Buffer) => {
      this._errors = (this._errors + chunk.toString()).slice(-maximumErrorCharacters);
    });
    this._exited = new Promise((resolve) => {
      this._child.once('exit', (code) => {
        running.delete(this._child);
        this._endedMs = Date.now();
        resolve(code);
      });
    });
  }

  /** When the process ended, milliseconds since 1970; `undefined` while it runs. */
  public get endedMs(): number | undefined {
    return this._endedMs;
  }

  public get pid(): number {
    return this._child.pid ?? 0;
  }

  /** The latest characters of standard error. */
  public get errorOutput(): string {
    return this._errors;
  }

  /** Waits for the first line of standard output, which is JSON, and returns it. */
  public async firstLine(timeoutMs = 15_000): Promise<Readonly<Record<string, number>>> {
    const deadlineMs = Date.now() + timeoutMs;
    while (!this._output.includes('\n')) {
      if (this._endedMs !== undefined || Date.now() > deadlineMs) {
        throw new Error(`process ${this.name} did not become ready: ${this._errors}`);
      }
      await delay(10);
    }
    return JSON.parse(this._output.slice(0, this._output.indexOf('\n'))) as Readonly<Record<string, number>>;
  }

  /** Kills the process without a clean-up, as a crash does. */
  public async kill(): Promise<void> {
    this._child.kill('SIGKILL');
    await this._exited;
  }

  /** Suspends the process, as a pause of its VM does. */
  public pause(): void {
    this._child.kill('SIGSTOP');
  }

  /** Continues a paused process. */
  public resume(): void {
    this._child.kill('SIGCONT');
  }

  /** Sends SIGTERM and returns the exit code; `null` if the process had to be killed. */
  public async stop(timeoutMs = 20_000): Promise<number | null> {
    this._child.kill('SIGTERM');
    const timer = setTimeout(() => this._child.kill('SIGKILL'), timeoutMs);
    const code = await this._exited;
    clearTimeout(timer);
    return code;
  }

  /** Waits until the process exits, and returns its exit code. */
  public exited(): Promise<number | null> {
    return this._exited;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    if (this._endedMs === undefined) {
      await this.kill();
    }
  }
}

/** Resolves after a duration. */
export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Polls until a condition holds; throws after the time limit. */
export async function waitUntil(
  description: string,
  timeoutMs: number,
  condition: () => boolean | Promise<boolean>,
  intervalMs = 20,
): Promise<void> {
  const endMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endMs) {
      throw new Error(`condition not met within ${timeoutMs} ms: ${description}`);
    }
    await delay(intervalMs);
  }
}
