import * as decisions from '@jayhaven/decisions';
import { dayMs } from './buildWorkload.js';
import { ControlLog } from './ControlLog.js';
import { EventQueue } from './EventQueue.js';
import { Measures } from './Measures.js';
import type { Arrival, PolicyMeasures, Workload } from './Types.js';
import { VirtualEngines } from './VirtualEngines.js';
import { VirtualOwner } from './VirtualOwner.js';

/** The daemon uses 500 ms; that takes eight times as long to replay and hardly affects keep-alives of minutes. */
const upkeepIntervalMs = 4_000;
const reportIntervalMs = 1_000;
/** Interval at which daemons repeat a wake while requests wait. */
const wakeIntervalMs = 1_000;

/** Requests of one model at the entry daemon. */
interface ModelEntry {
  waiting: Arrival[];
  expectedReadyMs: number | undefined;
  wakeScheduled: boolean;
  reportScheduled: boolean;
  /** Usage by adapter; the empty name denotes the base model. */
  readonly usage: Map<string, { arrivals: number; inFlight: number }>;
  readonly adapterWaiting: Map<string, { readonly arrival: Arrival; readonly cold: boolean }[]>;
}

/** Replays one day of arrivals against a policy, in virtual time. */
export class VirtualDay {
  private readonly _events = new EventQueue();
  private readonly _measures = new Measures();
  private readonly _log: ControlLog;
  private readonly _engines: VirtualEngines;
  private readonly _owner: VirtualOwner;
  private readonly _models = new Map<string, ModelEntry>();

  private constructor(
    private readonly _workload: Workload,
    policy: decisions.KeepAlivePolicy,
    keepAliveSeconds: number,
    private readonly _durationMs: number,
  ) {
    this._log = new ControlLog(_workload, keepAliveSeconds);
    this._engines = new VirtualEngines(_workload);
    const { ownerLoadsPerSecond } = _workload.specification;
    this._owner = new VirtualOwner(
      this._log,
      this._events,
      this._engines,
      this._measures,
      policy,
      ownerLoadsPerSecond,
      (replica) => {
        this._startWaiting(replica.model);
      },
    );
  }

  /** Runs a workload from its first second to the last deadline. */
  public static run(
    workload: Workload,
    policy: decisions.KeepAlivePolicy,
    keepAliveSeconds: number,
    durationMs = dayMs,
  ): PolicyMeasures {
    return new VirtualDay(workload, policy, keepAliveSeconds, durationMs)._run();
  }

  private _run(): PolicyMeasures {
    for (const arrival of this._workload.arrivals) {
      this._events.schedule(arrival.atMs, () => {
        this._arrive(arrival);
      });
    }
    const upkeep = (): void => {
      this._owner.upkeep();
      this._events.schedule(this._events.nowMs + upkeepIntervalMs, upkeep);
    };
    this._events.schedule(upkeepIntervalMs, upkeep);
    // The last requests may be answered or refused after the end of the day.
    const endMs = this._durationMs + Math.max(...this._workload.arrivals.map((arrival) => arrival.deadlineMs));
    this._events.runUntil(endMs);
    return this._measures.finish(endMs, this._engines, this._log.rejected);
  }

  private _arrive(arrival: Arrival): void {
    const entry = this._entryOf(arrival.model);
    this._count(arrival, 1);
    if (this._isReady(arrival.model)) {
      this._startOrLoadAdapter(arrival, false);
      return;
    }
    const deadlineMs = arrival.atMs + arrival.deadlineMs;
    if (decisions.missesDeadline({ deadlineMs }, entry.expectedReadyMs, this._events.nowMs)) {
      this._refuse(arrival, 'deadline_unreachable');
      return;
    }
    entry.waiting.push(arrival);
    if (!entry.wakeScheduled) {
      this._wake(arrival.model);
    }
  }

  /** Sends a wake for the model to the owner, and repeats it each second while requests wait. */
  private _wake(model: string): void {
    const entry = this._entryOf(model);
    entry.wakeScheduled = false;
    const { nowMs } = this._events;
    const overdue = entry.waiting.filter((arrival) => arrival.atMs + arrival.deadlineMs <= nowMs);
    entry.waiting = entry.waiting.filter((arrival) => arrival.atMs + arrival.deadlineMs > nowMs);
    overdue.forEach((arrival) => {
      this._refuse(arrival, 'deadline_passed');
    });
    if (entry.waiting.length === 0) {
      entry.expectedReadyMs = undefined;
      return;
    }
    const remainingMs = Math.max(...entry.waiting.map((arrival) => arrival.atMs + arrival.deadlineMs - nowMs));
    const interactive = entry.waiting.some((arrival) => arrival.urgency === 'interactive');
    const urgency = interactive ? 'interactive' : 'batch';
    const settings = this._settingsOf(model);
    const answer = this._owner.wake({ settings, urgency, remainingMs, waiting: entry.waiting.length });
    if (answer.kind === 'refused') {
      const refused = entry.waiting.splice(0);
      refused.forEach((arrival) => {
        this._refuse(arrival, answer.type);
      });
      entry.expectedReadyMs = undefined;
      return;
    }
    entry.expectedReadyMs = nowMs + answer.readyInMs;
    entry.wakeScheduled = true;
    this._events.schedule(nowMs + wakeIntervalMs, () => {
      this._wake(model);
    });
  }

  private _startWaiting(model: string): void {
    const entry = this._entryOf(model);
    entry.expectedReadyMs = undefined;
    for (const arrival of entry.waiting.splice(0)) {
      this._startOrLoadAdapter(arrival, true);
    }
  }

  private _startOrLoadAdapter(arrival: Arrival, cold: boolean): void {
    const { adapter, model } = arrival;
    if (adapter === undefined || this._hasAdapter(model, adapter)) {
      this._start(arrival, cold);
      return;
    }
    const entry = this._entryOf(model);
    const waiting = entry.adapterWaiting.get(adapter);
    if (waiting !== undefined) {
      waiting.push({ arrival, cold });
      return;
    }
    entry.adapterWaiting.set(adapter, [{ arrival, cold }]);
    const loading = this._owner.loadAdapter(this._settingsOf(model), adapter, () => {
      this._startWaitingForAdapter(entry, adapter);
    });
    if (!loading) {
      entry.adapterWaiting.delete(adapter);
      this._refuse(arrival, 'adapter_no_room');
    }
  }

  private _startWaitingForAdapter(entry: ModelEntry, adapter: string): void {
    const waiting = entry.adapterWaiting.get(adapter) ?? [];
    entry.adapterWaiting.delete(adapter);
    for (const { arrival, cold } of waiting) {
      this._start(arrival, cold);
    }
  }

  private _start(arrival: Arrival, cold: boolean): void {
    this._measures.recordServed(this._events.nowMs - arrival.atMs, cold);
    this._events.schedule(this._events.nowMs + arrival.serviceMs, () => {
      this._count(arrival, -1);
    });
  }

  private _refuse(arrival: Arrival, type: string): void {
    this._measures.recordRefused(arrival, type);
    this._count(arrival, -1);
  }

  /** Counts a request from its arrival to its end, as the daemon's usage reporter does. */
  private _count(arrival: Arrival, change: 1 | -1): void {
    const entry = this._entryOf(arrival.model);
    const usage = entry.usage.get(arrival.adapter ?? '') ?? { arrivals: 0, inFlight: 0 };
    entry.usage.set(arrival.adapter ?? '', usage);
    usage.inFlight += change;
    usage.arrivals += change === 1 ? 1 : 0;
    this._measures.updateInFlight(arrival.model, change, this._events.nowMs);
    this._scheduleReport(arrival.model, entry);
  }

  private _scheduleReport(model: string, entry: ModelEntry): void {
    if (entry.reportScheduled) {
      return;
    }
    entry.reportScheduled = true;
    const nextMs = (Math.floor(this._events.nowMs / reportIntervalMs) + 1) * reportIntervalMs;
    this._events.schedule(nextMs, () => {
      this._report(model, entry);
    });
  }

  private _report(model: string, entry: ModelEntry): void {
    entry.reportScheduled = false;
    const { partner, version } = this._settingsOf(model);
    const lines: decisions.UsageLine[] = [];
    for (const [adapter, usage] of entry.usage) {
      lines.push({ partner, model, version, ...(adapter === '' ? {} : { adapter }), ...usage });
      if (usage.arrivals === 0 && usage.inFlight === 0) {
        entry.usage.delete(adapter);
      }
      usage.arrivals = 0;
    }
    this._owner.report(lines);
    if (entry.usage.size > 0) {
      this._scheduleReport(model, entry);
    }
  }

  private _isReady(model: string): boolean {
    return decisions.replicasOf(this._log.state, this._settingsOf(model)).some((replica) => replica.state === 'ready');
  }

  private _hasAdapter(model: string, adapter: string): boolean {
    return decisions
      .replicasOf(this._log.state, this._settingsOf(model))
      .some(({ state, entry }) => state === 'ready' && entry?.adapters.get(adapter)?.state === 'ready');
  }

  private _settingsOf(model: string): decisions.ModelSettings {
    const settings = decisions.modelSettings(this._log.state, this._workload.specification.partner, model);
    if (settings === undefined) {
      throw new Error(`model ${model} of the workload is not configured`);
    }
    return settings;
  }

  private _entryOf(model: string): ModelEntry {
    let entry = this._models.get(model);
    if (entry === undefined) {
      entry = {
        waiting: [],
        expectedReadyMs: undefined,
        wakeScheduled: false,
        reportScheduled: false,
        usage: new Map(),
        adapterWaiting: new Map(),
      };
      this._models.set(model, entry);
    }
    return entry;
  }
}
