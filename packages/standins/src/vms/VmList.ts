import * as common from '@jayhaven/common';
import * as zod from 'zod';
import { HttpStandIn, sendNotFound, type Call } from '../http/HttpStandIn.js';
import type { ListenOptions, Outage } from '../Types.js';

/** Options of the VM list stand-in. */
export interface VmListOptions extends ListenOptions {
  /** Delay before a change is visible, milliseconds. */
  readonly lagMs?: number;
}

const entrySchema = zod.object({
  targets: zod.array(zod.string()),
  labels: zod.looseObject({
    vm: zod.string(),
    failure_domain: zod.string(),
    state: zod.enum(['live', 'leaving']),
    role: zod.enum(['engine', 'service', 'entry']),
    service: zod.string().optional(),
    accelerators: zod.string().optional(),
    fencing: zod.enum(['checked', 'ignored']).optional(),
  }),
});
const stateSchema = zod.strictObject({ state: zod.enum(['live', 'leaving', 'gone']) });
const controlSchema = zod.strictObject({
  outage: zod.union([zod.boolean(), zod.literal('hang')]).optional(),
  lagMs: zod.number().min(0).optional(),
});

/** An entry of the list (Prometheus HTTP service discovery). */
export type VmEntry = zod.infer<typeof entrySchema>;

/** VM list of the platform. Changes become visible after a lag. */
export class VmList extends HttpStandIn {
  private readonly _timers = new Set<NodeJS.Timeout>();
  private _entries: readonly VmEntry[] = [];
  private _visible: readonly VmEntry[] = [];
  private _outage: Outage = false;
  private _lagMs: number;
  private _reads = 0;

  private constructor(options: VmListOptions) {
    super();
    this._lagMs = options.lagMs ?? 0;
  }

  /** Starts the VM list. */
  public static async open(options: VmListOptions = {}): Promise<VmList> {
    const list = new VmList(options);
    await list.listen(options);
    return list;
  }

  protected override stop(): void {
    for (const timer of this._timers) {
      clearTimeout(timer);
    }
  }

  protected override handle(call: Call): void {
    const vm = /^\/control\/vms\/([^/]+)$/.exec(call.path)?.[1];
    if (call.path === '/vms' && call.method === 'GET') {
      this._list(call);
    } else if (vm !== undefined && call.method === 'POST') {
      this._setState(decodeURIComponent(vm), stateSchema.parse(call.body).state);
      common.sendJson(call.response, 200, this._entries);
    } else if (call.path === '/control') {
      this._control(call);
    } else {
      sendNotFound(call);
    }
  }

  private _list(call: Call): void {
    this._reads += 1;
    if (this._outage === true) {
      common.sendJson(call.response, 503, { error: { type: 'outage', message: 'the VM list is down' } });
    } else if (!this._outage) {
      common.sendJson(call.response, 200, this._visible);
    }
  }

  private _control(call: Call): void {
    if (call.method === 'PUT') {
      this._applyChange(zod.array(entrySchema).parse(call.body));
    } else if (call.method === 'POST') {
      const control = controlSchema.parse(call.body);
      this._outage = control.outage ?? this._outage;
      this._lagMs = control.lagMs ?? this._lagMs;
    }
    const { _entries: entries, _visible: visible, _reads: reads, _outage: outage } = this;
    common.sendJson(call.response, 200, { entries, visible, reads, outage, lagMs: this._lagMs });
  }

  private _setState(vm: string, state: 'live' | 'leaving' | 'gone'): void {
    const remaining = this._entries.filter((entry) => state !== 'gone' || entry.labels.vm !== vm);
    this._applyChange(
      remaining.map((entry) =>
        entry.labels.vm === vm && state !== 'gone' ? { ...entry, labels: { ...entry.labels, state } } : entry,
      ),
    );
  }

  private _applyChange(entries: readonly VmEntry[]): void {
    this._entries = entries;
    if (this._lagMs === 0) {
      this._visible = entries;
      return;
    }
    const timer = setTimeout(() => {
      this._timers.delete(timer);
      this._visible = entries;
    }, this._lagMs);
    this._timers.add(timer);
  }
}
