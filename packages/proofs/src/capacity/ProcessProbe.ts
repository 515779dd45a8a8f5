import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import { waitUntil } from '../harness/index.js';

/** Clock ticks per second of `/proc/<pid>/stat` on Linux. */
const ticksPerSecond = 100;
const reportTimeoutMs = 5_000;
const preload = url.pathToFileURL(
  path.resolve(import.meta.dirname, '..', '..', 'dist', 'capacity', 'trafficPreload.js'),
).href;

/** Bytes on the sockets of a process. Keys: `to:<remote port>` and `at:<local port>`. */
export type Traffic = Readonly<Record<string, { readonly sent: number; readonly received: number }>>;

/** Resource usage of a process since its start. */
export interface ProcessReading {
  readonly timeMs: number;
  readonly processorMs: number;
  readonly residentBytes: number;
  readonly heapBytes: number;
  readonly traffic: Traffic;
}

/** Reads processor time, memory and socket bytes of processes that are started while the probe is open. */
export class ProcessProbe implements AsyncDisposable {
  private readonly _reports = new Map<number, number>();

  private constructor(
    private readonly _folder: string,
    private readonly _previousNodeOptions: string | undefined,
  ) {}

  /** Preloads the traffic counter into all processes started from now on. */
  public static async open(): Promise<ProcessProbe> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'jayhaven-capacity-'));
    const previousNodeOptions = process.env.NODE_OPTIONS;
    process.env.JAYHAVEN_CAPACITY_FOLDER = folder;
    process.env.NODE_OPTIONS = `${previousNodeOptions ?? ''} --import ${preload}`.trim();
    return new ProcessProbe(folder, previousNodeOptions);
  }

  /** Reads one process. */
  public async read(pid: number): Promise<ProcessReading> {
    const report = (this._reports.get(pid) ?? 0) + 1;
    this._reports.set(pid, report);
    // Read before the signal, so that the measured window does not include the writing of the report.
    const usage = await readUsage(pid);
    process.kill(pid, 'SIGUSR2');
    const file = path.join(this._folder, `${pid}-${report}.json`);
    await waitUntil(`report of process ${pid}`, reportTimeoutMs, () => exists(file), 5);
    const json = JSON.parse(await fs.readFile(file, 'utf8')) as { traffic: Traffic; heapUsed: number };
    return { ...usage, heapBytes: json.heapUsed, traffic: json.traffic };
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    delete process.env.JAYHAVEN_CAPACITY_FOLDER;
    if (this._previousNodeOptions === undefined) {
      delete process.env.NODE_OPTIONS;
    } else {
      process.env.NODE_OPTIONS = this._previousNodeOptions;
    }
    await fs.rm(this._folder, { recursive: true, force: true });
  }
}

/** Processor time and resident memory of a process, from `/proc`. */
export async function readUsage(
  pid: number,
): Promise<Pick<ProcessReading, 'timeMs' | 'processorMs' | 'residentBytes'>> {
  const [stat, status] = await Promise.all([
    fs.readFile(`/proc/${pid}/stat`, 'utf8'),
    fs.readFile(`/proc/${pid}/status`, 'utf8'),
  ]);
  // The name in parentheses may contain spaces; utime and stime are fields 14 and 15.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const kilobytes = Number(/^VmRSS:\s+(\d+) kB/m.exec(status)?.[1] ?? 0);
  return {
    timeMs: performance.now(),
    processorMs: (ticks * 1000) / ticksPerSecond,
    residentBytes: kilobytes * 1024,
  };
}

async function exists(file: string): Promise<boolean> {
  return fs.access(file).then(
    () => true,
    () => false,
  );
}
