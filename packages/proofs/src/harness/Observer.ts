import type * as standins from '@jayhaven/standins';
import type { CallResult } from './CallerClient.js';
import type { ManagedProcess } from './ManagedProcess.js';
import { maximumConcurrentReplicas, replicaSpans, type ReplicaSpan } from './replicaHistory.js';
import type { StandInHandle } from './StandInHandle.js';

/** Interval at which records are copied, milliseconds; a stand-in that is killed loses its records. */
const copyIntervalMs = 250;

/** The targets whose records an observer reads. */
export interface ObservedCluster {
  readonly engines: readonly { readonly vm: string; readonly standIn: StandInHandle }[];
  readonly services: readonly { readonly vm: string; readonly service: string; readonly standIn: StandInHandle }[];
}

/** Limits that a test sets. */
export interface Expectations {
  /** Maximum concurrent replicas by model (`partner/model`); `replicasPerModel` applies to all others. */
  readonly replicas?: Readonly<Record<string, number>>;
  /** Maximum concurrent replicas of any other model; no limit if not given. */
  readonly replicasPerModel?: number;
}

interface ServiceRecords {
  readonly calls: readonly standins.ServiceCallRecord[];
}

/** Records of one process of a target; a restarted target has a new set. */
interface RecordCopy<Records> {
  readonly name: string;
  readonly records: Records;
}

/** Checks the system's guarantees from outside, using only the stand-ins' records and the callers' results. */
export class Observer {
  private readonly _engines = new Map<ManagedProcess, RecordCopy<standins.EngineRecordList>>();
  private readonly _services = new Map<ManagedProcess, RecordCopy<ServiceRecords> & { readonly service: string }>();
  private readonly _results: CallResult[] = [];
  private _timer: NodeJS.Timeout | undefined;
  private _pendingCopy: Promise<void> | undefined;

  public constructor(private readonly _cluster: ObservedCluster) {}

  /** Results of the callers so far. */
  public get results(): readonly CallResult[] {
    return this._results;
  }

  /** Adds a caller's result to the checks. */
  public addResult(result: CallResult): void {
    this._results.push(result);
  }

  /** Starts to copy records at an interval. */
  public start(): void {
    this._timer = setInterval(() => {
      if (!this._pendingCopy) {
        void this.copyRecords();
      }
    }, copyIntervalMs);
  }

  public stop(): void {
    clearInterval(this._timer);
  }

  /** Copies the records of every target that answers; the copy is read after this call. */
  public async copyRecords(): Promise<void> {
    // A copy in progress may have read its records before this call.
    while (this._pendingCopy) {
      await this._pendingCopy;
    }
    this._pendingCopy = this._copyAll().finally(() => {
      this._pendingCopy = undefined;
    });
    await this._pendingCopy;
  }

  /** Records of every engine process up to the last `copyRecords`. */
  public engineRecords(): readonly { readonly engine: string; readonly records: standins.EngineRecordList }[] {
    return [...this._engines.values()].map(({ name, records }) => ({ engine: name, records }));
  }

  /** Calls that services ran up to the last `copyRecords`. */
  public serviceCalls(service?: string): readonly standins.ServiceCallRecord[] {
    return [...this._services.values()]
      .filter((copy) => service === undefined || copy.service === service)
      .flatMap((copy) => copy.records.calls);
  }

  /** Counts requests that a VM's engine accepted, or calls that its service ran, after a time, up to `copyRecords`. */
  public workAfter(vm: string, timeMs: number): number {
    const requests = [...this._engines.values()]
      .filter((copy) => copy.name === vm)
      .flatMap(({ records }) => records.requests)
      .filter((request) => request.arrivedMs > timeMs && request.outcome !== 'refused');
    const calls = [...this._services.values()]
      .filter((copy) => copy.name === vm)
      .flatMap(({ records }) => records.calls)
      .filter((call) => call.timeMs > timeMs);
    return requests.length + calls.length;
  }

  /** Spans in which engines held replicas of a model (`partner/model`), or of all, up to the last `copyRecords`. */
  public replicaSpans(model?: string): readonly ReplicaSpan[] {
    return [...this._engines]
      .flatMap(([process, { name, records }]) => replicaSpans(name, records.models, process.endedMs))
      .filter((span) => model === undefined || span.model === model);
  }

  /** Copies the records once more, and returns a sentence for every violated guarantee. */
  public async violations(expectations: Expectations = {}): Promise<readonly string[]> {
    await this.copyRecords();
    return [
      ...this._replicaViolations(expectations),
      ...this._memoryViolations(),
      ...this._repeatedCalls(),
      ...this._incorrectRefusals(),
      ...this._mismatchedAnswers(),
    ];
  }

  private async _copyAll(): Promise<void> {
    const engines = this._cluster.engines.map(async ({ vm, standIn }) => {
      const { process } = standIn;
      const known = this._engines.get(process)?.records;
      const ended = known?.requests.slice(0, known.endedRequests) ?? [];
      const records = await readRecords<standins.EngineRecordList>(standIn, `?ended_from=${ended.length}`);
      if (records) {
        this._engines.set(process, { name: vm, records: { ...records, requests: [...ended, ...records.requests] } });
      }
    });
    const services = this._cluster.services.map(async ({ vm, service, standIn }) => {
      const { process } = standIn;
      const known = this._services.get(process)?.records.calls ?? [];
      const records = await readRecords<ServiceRecords>(standIn, `?from=${known.length}`);
      if (records) {
        this._services.set(process, { name: vm, service, records: { calls: [...known, ...records.calls] } });
      }
    });
    await Promise.all([...engines, ...services]);
  }

  private _replicaViolations({ replicas = {}, replicasPerModel }: Expectations): readonly string[] {
    const spans = this.replicaSpans();
    return [...new Set(spans.map((span) => span.model))].flatMap((model) => {
      const allowed = replicas[model] ?? replicasPerModel ?? Number.POSITIVE_INFINITY;
      const maximum = maximumConcurrentReplicas(spans.filter((span) => span.model === model));
      return maximum > allowed ? [`${maximum} replicas of ${model} at once, ${allowed} allowed`] : [];
    });
  }

  private _memoryViolations(): readonly string[] {
    return this.engineRecords().flatMap(({ engine, records }) => [
      ...records.violations.map((violation) => `${engine}: ${violation.rule}: ${violation.message}`),
      ...records.models
        .filter(({ usedBytes }) => usedBytes.some((used, index) => used > (records.accelerators[index] ?? 0)))
        .map((record) => `${engine}: ${record.usedBytes.join(',')} bytes in use at ${record.timeMs}`),
    ]);
  }

  private _repeatedCalls(): readonly string[] {
    return [...this._callsByKey()]
      .filter(([, count]) => count > 1)
      .map(([key, count]) => `call ${key} ran ${count} times`);
  }

  /** Refusals that report a call as not run although it ran. */
  private _incorrectRefusals(): readonly string[] {
    const keys = this._callsByKey();
    const requests = new Set(this.serviceCalls().map((call) => call.requestId));
    const prompts = new Set(this._promptsWithTokens());
    const hasRun = (result: CallResult): boolean =>
      result.kind === 'completion'
        ? prompts.has(result.promptHash ?? '')
        : requests.has(result.requestId) || (this._isOnlyAttempt(result) && keys.has(keyOf(result) ?? ''));
    return this._results
      .filter((result) => result.error?.executed === 'no' && hasRun(result))
      .map((result) => `${result.requestId} was refused as not run, but it ran`);
  }

  /** Prompts for which an engine generated tokens. */
  private _promptsWithTokens(): readonly string[] {
    return this.engineRecords().flatMap(({ records }) =>
      records.requests.filter((request) => request.tokens > 0).map((request) => request.promptHash),
    );
  }

  /** Whether no other call used the key. The refusal of a repeat does not imply that the first attempt did not run. */
  private _isOnlyAttempt(result: CallResult): boolean {
    return this._results.filter((other) => other.key === result.key && other.service === result.service).length === 1;
  }

  private _mismatchedAnswers(): readonly string[] {
    return this._results
      .filter((result) => result.outcome === 'mismatched')
      .map((result) => `${result.requestId} got an answer that is not its own or not whole: ${result.detail ?? ''}`);
  }

  private _callsByKey(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const { service, records } of this._services.values()) {
      for (const call of records.calls) {
        if (call.key !== null) {
          const key = `${service} ${call.key}`;
          counts.set(key, (counts.get(key) ?? 0) + 1);
        }
      }
    }
    return counts;
  }
}

function keyOf(result: CallResult): string | undefined {
  return result.key === undefined ? undefined : `${result.service ?? ''} ${result.key}`;
}

/** Reads the records of a target; `undefined` if it does not answer. */
async function readRecords<Records>(standIn: StandInHandle, query: string): Promise<Records | undefined> {
  const { process } = standIn;
  if (process.endedMs !== undefined) {
    return undefined;
  }
  try {
    const records = (await standIn.records(query)) as Records;
    return standIn.process === process ? records : undefined;
  } catch {
    return undefined;
  }
}
