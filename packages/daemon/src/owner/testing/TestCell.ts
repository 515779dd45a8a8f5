import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { DaemonContext, OwnerPart, WakeAnswer, WakeRequest } from '../../Types.js';
import { openOwner } from '../openOwner.js';
import { MemoryControl, testLimits } from './MemoryControl.js';
import { MemoryLog } from './MemoryLog.js';
import type { ScriptedEngine } from './ScriptedEngine.js';

const silentLogger: common.Logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  child: () => silentLogger,
};

/** One daemon in a test: its control plane and its ownership component. */
export interface TestDaemon {
  readonly control: MemoryControl;
  readonly owner: OwnerPart;
}

/** Timing of a test cell, milliseconds. */
export interface TestTiming {
  readonly leaseMs?: number;
  readonly renewMs?: number;
  readonly orderDeliveryMs?: number;
}

/** A cell in one process: an in-memory log and daemons with their ownership components. */
export class TestCell implements AsyncDisposable {
  public readonly log = new MemoryLog();
  public readonly group: MemoryControl[] = [];
  public readonly daemons: TestDaemon[] = [];
  private readonly _registry = new common.DisposalRegistry();

  public constructor(
    private readonly _timing: TestTiming = {},
    private readonly _vmListUrl = 'http://127.0.0.1:1/vms',
  ) {}

  /** Starts one daemon. */
  public async start(name: string): Promise<TestDaemon> {
    const control = new MemoryControl(`${name}#1`, this.log, this.group);
    const owner = await openOwner(this._contextOf(name, control), control);
    this._registry.register(owner);
    const daemon = { control, owner };
    this.daemons.push(daemon);
    return daemon;
  }

  /** Writes a configuration value, as an operator of the partner that the key names. */
  public configure(control: MemoryControl, key: string, value: unknown): Promise<unknown> {
    const commonFields = {
      kind: 'configurationEdited',
      partner: key.split('/')[0] ?? '',
      operator: 'test',
      key,
    } as const;
    return control.append({ ...commonFields, basedOn: null, value, reason: 'test' });
  }

  /** Adds an engine to the VM list, by default on a separate VM. */
  public addEngine(
    control: MemoryControl,
    engine: ScriptedEngine,
    fencing: 'checked' | 'ignored',
    vm = `vm-${engine.address}`,
  ): Promise<unknown> {
    const target: decisions.TargetDescription = {
      address: engine.address,
      role: 'engine',
      acceleratorBytes: [100],
      fencing,
    };
    return control.append({ kind: 'vmObserved', vm, failureDomain: 'a', state: 'live', targets: [target] });
  }

  /** Requests a model through one daemon. */
  public async wake(
    daemon: TestDaemon,
    model: string,
    overrides: Partial<WakeRequest> = {},
  ): Promise<WakeAnswer | string> {
    const outcome = await daemon.owner.client.wake({
      ...{ partner: 'solano', model, version: '1', urgency: 'interactive', remainingMs: 20_000, waiting: 1 },
      ...overrides,
    });
    return outcome.ok ? outcome.value : outcome.failure.kind;
  }

  /** Accepted records of one kind. */
  public accepted(kind: decisions.ControlRecordBody['kind']): readonly decisions.ControlRecord[] {
    return this.log.accepted(testLimits).filter((record) => record.body.kind === kind);
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this._registry[Symbol.asyncDispose]();
  }

  private _contextOf(name: string, control: MemoryControl): DaemonContext {
    const owner = {
      leaseMs: this._timing.leaseMs ?? 600,
      renewMs: this._timing.renewMs ?? 150,
      loadsPerSecond: 20,
      maximumConcurrentLoads: 4,
      maximumAdaptersInTransit: 30,
      orderDeliveryMs: this._timing.orderDeliveryMs ?? 300,
    };
    const settings = {
      daemon: { name, vm: `vm-${name}`, failureDomain: 'a', cell: 'c', logLevel: 'silent' },
      platform: { vmListUrl: this._vmListUrl, logTimeoutMs: 2_000 },
      owner,
    } as DaemonContext['settings'];
    return {
      settings,
      logger: silentLogger,
      timeline: { record: () => undefined },
      clock: new common.HybridClock(),
      // At an infinite time every lease has expired, so a killed or paused daemon of this process starts nothing new.
      now: () => (control.killed || control.paused ? Infinity : performance.now()),
      wallNow: () => Date.now(),
    };
  }
}

/** Waits until a condition holds; throws after the limit. */
export async function until(condition: () => boolean, limitMs = 10_000): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (!condition()) {
    if (performance.now() > deadlineMs) {
      throw new Error(`condition not met within ${limitMs} ms: ${condition.toString()}`);
    }
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}
