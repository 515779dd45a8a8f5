/**
 * Random interleavings for tests: several daemons with outdated states (pauses), repeated appends (lost
 * acknowledgements), late deliveries to engines and late reports. The engines are simulated, so the invariants are
 * checked against the models and adapters that the engines hold, not only against the replayed state.
 */
import * as fc from 'fast-check';
import * as decisions from '../index.js';

/** Limits of the simulated cell. */
export const limits: decisions.ControlLimits = {
  maximumConcurrentLoads: 3,
  maximumAdaptersInTransit: 2,
  partners: ['solano', 'cascade'],
};
const cell = 'cell';
const models = ['m0', 'm1', 'm2'];
const address = { host: '127.0.0.1', port: 1 };
const engineBytes = 100;
const weightBytes = 40;
const adapterBytes = 15;

interface Engine {
  readonly fencing: 'checked' | 'ignored';
  readonly loaded: Map<string, number>;
  token: number;
}

interface SendableOrder {
  readonly entry: decisions.OrderEntry;
  readonly claim: number;
}

/** A simulated daemon. */
interface Actor {
  readonly incarnation: string;
  readonly daemon: string;
  sequence: number;
  /** Replayed state of this daemon; may be older than the log. */
  view: decisions.ControlState;
  isStopped: boolean;
  /** Orders that it may still send, independent of its view. */
  readonly sendableOrders: Map<number, SendableOrder>;
  /** Last status that it read from each engine. */
  lastEngineStatuses: Map<string, { readonly readAfter: number; readonly loaded: ReadonlySet<string> }>;
  lastVmList: { readonly readAfter: number; readonly listed: ReadonlySet<number> } | undefined;
}

/** An action, the index of the daemon, and two numbers that select the objects of the action. */
export type Step = readonly [action: string, actor: number, first: number, second: number];

const actionWeights = {
  sync: 12,
  claim: 2,
  release: 1,
  load: 10,
  deliver: 24,
  settle: 8,
  adopt: 4,
  raiseFence: 3,
  read: 8,
  report: 16,
  unload: 4,
  loadAdapter: 8,
  unloadAdapter: 2,
  repeat: 5,
  restart: 1,
  reclaimVm: 1,
  readVms: 2,
  observe: 3,
  editMaximum: 1,
};

const ownerActions: ReadonlySet<string> = new Set([
  ...['load', 'adopt', 'raiseFence', 'read', 'report', 'unload', 'loadAdapter', 'unloadAdapter'],
]);

/** One random step of a daemon, an engine or an operator. */
export const stepArbitrary: fc.Arbitrary<Step> = fc.tuple(
  fc.oneof(...Object.entries(actionWeights).map(([action, weight]) => ({ weight, arbitrary: fc.constant(action) }))),
  fc.nat({ max: 2 }),
  fc.nat({ max: 50 }),
  fc.nat({ max: 50 }),
);

/** A log, the daemons that write to it, and the engines that their orders reach. */
export class Simulation {
  public state = decisions.emptyControlState(limits);
  public readonly values: unknown[] = [];
  public readonly verdicts: decisions.Verdict[] = [];
  public readonly acceptedClaims: (number | null)[] = [];
  private readonly _actors: Actor[] = [];
  private readonly _stopped: Actor[] = [];
  private readonly _engines = new Map<string, Engine>();
  private _starts = 0;

  public constructor() {
    for (const index of [0, 1, 2]) {
      this._actors.push(this._start(`d${index}`));
    }
    for (const index of [0, 1]) {
      this._engines.set(`vm${index}:1`, this._newEngine(index));
      this._append(this._actor(0), this._observation(index, true, 0));
    }
    for (const model of models) {
      this._edit(`solano/models/${model}`, {
        ...{ version: 'v1', weightBytes: [weightBytes], cacheBytes: 0, expectedLoadMilliseconds: 1 },
      });
    }
    this._edit('solano/defaults/maximumReplicas', 2);
    for (const actor of this._actors) {
      actor.view = this.state;
    }
  }

  /** Runs one step; a step that is not possible in the actor's view has no effect. */
  public run([action, actorIndex, first, second]: Step): void {
    const actor = this._chooseActor(action, actorIndex, first + second);
    const replica = pick([...actor.view.replicas.values()], first);
    const claim = actor.view.cells.get(cell)?.latestClaim ?? null;
    const order = pick([...actor.sendableOrders.values()], first);
    const reason = { rule: 'test', figures: {} };
    switch (action) {
      case 'sync':
        actor.view = this.state;
        break;
      case 'claim':
        this._append(actor, { kind: 'ownerClaimed', cell, supersedes: claim });
        break;
      case 'release':
        this._append(actor, { kind: 'ownerReleased', cell, claim: claim ?? 0 });
        break;
      case 'load': {
        const version = { partner: 'solano', model: models[first % models.length] ?? '', version: 'v1' };
        const ordinal = decisions.replicasOf(actor.view, version).length + 1;
        const target = `vm${second % 2}:1`;
        const decision = { cell, claim: claim ?? 0, target, bytes: [weightBytes], ordinal, reason };
        this._append(actor, { kind: 'loadDecided', ...version, ...decision, urgency: 'batch' });
        break;
      }
      case 'deliver':
        this._deliver(order);
        break;
      case 'settle':
        if (order !== undefined) {
          actor.sendableOrders.delete(order.entry.order);
          this._append(actor, { kind: 'orderSettled', order: order.entry.order, result: 'sent' });
        }
        break;
      case 'adopt': {
        const orderId = pick([...actor.view.orders.keys()], first);
        this._append(actor, { kind: 'orderAdopted', cell, claim: claim ?? 0, order: orderId ?? 0 });
        break;
      }
      case 'raiseFence':
        this._raiseFence(actor, `vm${first % 2}:1`, claim);
        break;
      case 'read':
        this._readEngines(actor);
        break;
      case 'report':
        this._reportReplica(actor, replica, second);
        break;
      case 'unload':
        this._append(actor, {
          ...{ kind: 'unloadDecided', cell, claim: claim ?? 0, replica: replica?.replica ?? 0, reason },
        });
        break;
      case 'loadAdapter':
        this._append(actor, {
          ...{ kind: 'adapterLoadDecided', cell, claim: claim ?? 0, replica: replica?.replica ?? 0 },
          ...{ adapter: `a${second % 2}`, bytes: [adapterBytes] },
        });
        break;
      case 'unloadAdapter':
        this._append(actor, {
          ...{ kind: 'adapterUnloadDecided', cell, claim: claim ?? 0, replica: replica?.replica ?? 0 },
          adapter: `a${second % 2}`,
        });
        break;
      case 'repeat':
        this._appendValue(this.values[first % this.values.length]);
        break;
      case 'restart':
        this._restart(actorIndex, second);
        break;
      case 'reclaimVm':
        this._engines.delete(`vm${first % 2}:1`);
        break;
      case 'readVms': {
        const listed = [0, 1].filter((index) => this._engines.has(`vm${index}:1`));
        actor.lastVmList = { readAfter: actor.view.appliedOffset, listed: new Set(listed) };
        break;
      }
      case 'observe':
        this._observe(actor, first % 2, second);
        break;
      case 'editMaximum':
        this._edit('solano/defaults/maximumReplicas', 1 + (second % 2));
        break;
    }
  }

  /** Throws if an engine holds a model or adapter that the state does not account for, or more than its memory. */
  public checkEngines(): void {
    for (const [target, engine] of this._engines) {
      const used = [...engine.loaded.values()].reduce((sum, bytes) => sum + bytes, 0);
      if (used > engineBytes) {
        throw new Error(`engine ${target} holds ${used} of ${engineBytes} bytes: ${[...engine.loaded.keys()].join()}`);
      }
      for (const name of engine.loaded.keys()) {
        if (!this._isAccountedFor(target, name)) {
          throw new Error(`engine ${target} holds ${name}, which the state does not account for`);
        }
      }
    }
  }

  private _isAccountedFor(target: string, name: string): boolean {
    const [model, adapter] = name.split(':');
    const orders = [...this.state.orders.values()].filter((order) => order.target === target && order.model === model);
    const replicas = [...this.state.replicas.values()].filter((replica) => replica.target === target);
    const counted = replicas.filter((replica) => replica.model === model);
    if (adapter === undefined) {
      return counted.length > 0 || orders.some((order) => order.action === 'load');
    }
    return (
      counted.some((replica) => replica.adapters.has(adapter) || (replica.bytes[0] ?? 0) > weightBytes) ||
      orders.some((order) => order.adapter === adapter || (order.bytes[0] ?? 0) > weightBytes)
    );
  }

  /** Prefers the owner, with a current view, for actions of an owner; otherwise few decisions would be accepted. */
  private _chooseActor(action: string, index: number, choice: number): Actor {
    const owner = this._actors.find(({ incarnation }) => incarnation === this.state.cells.get(cell)?.owner);
    if (owner === undefined || !ownerActions.has(action) || choice % 5 === 0) {
      return this._actor(index);
    }
    owner.view = this.state;
    return owner;
  }

  private _actor(index: number): Actor {
    const actor = this._actors[index];
    if (actor === undefined) {
      throw new Error(`invariant broken: no daemon ${index}`);
    }
    return actor;
  }

  private _start(daemon: string): Actor {
    this._starts += 1;
    const incarnation = `${daemon}#${this._starts}`;
    const view = this.state;
    const actor: Actor = {
      ...{ incarnation, daemon, sequence: 0, view, isStopped: false },
      ...{ sendableOrders: new Map(), lastEngineStatuses: new Map(), lastVmList: undefined },
    };
    const location = { daemon, vm: `entry-${daemon}`, failureDomain: 'f', peers: address, operators: address };
    this._append(actor, { kind: 'daemonJoined', ...location });
    return actor;
  }

  private _restart(index: number, choice: number): void {
    const stopped = this._actor(index);
    stopped.isStopped = true;
    if (choice % 2 === 0) {
      this._append(stopped, { kind: 'daemonLeft' });
    } else {
      this._stopped.push(stopped);
    }
    this._actors[index] = this._start(stopped.daemon);
    const departed = pick(this._stopped, choice);
    if (departed !== undefined) {
      const incarnation = departed.incarnation;
      this._append(this._actor(index), { kind: 'incarnationGone', incarnation, evidence: 'successorStarted' });
    }
  }

  private _append(actor: Actor, body: decisions.ControlRecordBody): void {
    actor.sequence += 1;
    const id = { incarnation: actor.incarnation, sequence: actor.sequence };
    const offset = this.values.length;
    const verdict = this._appendValue({ id, clock: { wallMs: offset, counter: 0 }, body });
    const entry = this.state.orders.get(body.kind === 'orderAdopted' ? body.order : offset);
    // The author reads its accepted record from the log, so it may send the order immediately.
    if (verdict.kind === 'accepted' && entry !== undefined && 'claim' in body && body.kind !== 'fenceRaised') {
      actor.sendableOrders.set(entry.order, { entry, claim: body.claim });
    }
  }

  private _appendValue(value: unknown): decisions.Verdict {
    const offset = this.values.push(value) - 1;
    const result = decisions.replayValue(this.state, offset, value);
    this.state = result.state;
    this.verdicts.push(result.verdict);
    const { body } = value as decisions.ControlRecord;
    if (result.verdict.kind === 'accepted' && body.kind === 'ownerClaimed') {
      this.acceptedClaims.push(body.supersedes);
    }
    return result.verdict;
  }

  private _deliver(order: SendableOrder | undefined): void {
    const engine = this._engines.get(order?.entry.target ?? '');
    if (
      order === undefined ||
      engine === undefined ||
      decisions.findTarget(this.state, order.entry.target) === undefined
    ) {
      return;
    }
    if (engine.fencing === 'checked' && order.claim < engine.token) {
      return;
    }
    const { model, adapter, action, bytes } = order.entry;
    const name = adapter === undefined ? model : `${model}:${adapter}`;
    if (action === 'load') {
      engine.loaded.set(name, bytes[0] ?? 0);
    } else if (action === 'adapterLoad' && engine.loaded.has(model)) {
      engine.loaded.set(name, bytes[0] ?? 0);
    } else if (action === 'unload' || action === 'adapterUnload') {
      const removed = [...engine.loaded.keys()].filter((key) => key === name || key.startsWith(`${name}:`));
      removed.forEach((key) => engine.loaded.delete(key));
    }
  }

  private _raiseFence(actor: Actor, target: string, claim: number | null): void {
    const engine = this._engines.get(target);
    if (engine?.fencing === 'checked' && claim !== null && claim >= engine.token) {
      engine.token = claim;
      this._append(actor, { kind: 'fenceRaised', target, claim });
    }
  }

  private _readEngines(actor: Actor): void {
    const readAfter = actor.view.appliedOffset;
    for (const [target, engine] of this._engines) {
      actor.lastEngineStatuses.set(target, { readAfter, loaded: new Set(engine.loaded.keys()) });
    }
  }

  /** Reports a replica, or one of its adapters, according to the last status that the actor read from the engine. */
  private _reportReplica(actor: Actor, replica: decisions.ReplicaEntry | undefined, choice: number): void {
    const status = actor.lastEngineStatuses.get(replica?.target ?? '');
    if (replica === undefined || status === undefined || status.readAfter < replica.replica) {
      return;
    }
    const { readAfter } = status;
    const adapter = choice % 2 === 0 ? pick([...replica.adapters.values()], choice) : undefined;
    const id = { replica: replica.replica };
    if (adapter !== undefined) {
      const isLoaded = status.loaded.has(`${replica.model}:${adapter.adapter}`);
      if (isLoaded) {
        this._append(actor, { kind: 'adapterReady', order: adapter.order });
      } else if (readAfter >= adapter.order) {
        this._append(actor, { kind: 'adapterUnloaded', ...id, adapter: adapter.adapter, readAfter });
      }
    } else if (status.loaded.has(replica.model)) {
      this._append(actor, { kind: 'replicaReady', ...id });
    } else if (replica.state === 'unloading') {
      this._append(actor, { kind: 'replicaUnloaded', ...id, readAfter });
    } else {
      this._append(actor, { kind: 'replicaFailed', ...id, reason: 'not loaded', readAfter });
    }
  }

  private _observe(actor: Actor, index: number, choice: number): void {
    if (actor.lastVmList !== undefined) {
      this._append(actor, this._observation(index, actor.lastVmList.listed.has(index), actor.lastVmList.readAfter));
    }
    const target = `vm${index}:1`;
    // A VM returns with the same address only after its loss has been replayed.
    if (choice % 3 === 0 && !this._engines.has(target) && !this.state.vms.has(`vm${index}`)) {
      this._engines.set(target, this._newEngine(index));
      for (const other of this._actors) {
        other.lastEngineStatuses.delete(target);
      }
    }
  }

  private _newEngine(index: number): Engine {
    return { fencing: index === 0 ? 'checked' : 'ignored', loaded: new Map(), token: 0 };
  }

  private _observation(index: number, isListed: boolean, readAfter: number): decisions.VmObserved {
    const fencing = index === 0 ? 'checked' : 'ignored';
    const target = {
      address: `vm${index}:1`,
      role: 'engine' as const,
      acceleratorBytes: [engineBytes],
      fencing,
    } as const;
    const location = { vm: `vm${index}`, failureDomain: 'f', targets: [target] };
    return { kind: 'vmObserved', ...location, state: isListed ? 'live' : 'gone', readAfter };
  }

  private _edit(key: string, value: unknown): void {
    const basedOn = this.state.configuration.get(key)?.version ?? null;
    const author = { partner: 'solano', operator: 'o', reason: '' };
    this._append(this._actor(0), { kind: 'configurationEdited', ...author, key, value, basedOn });
  }
}

function pick<Value>(values: readonly Value[], choice: number): Value | undefined {
  return values.length === 0 ? undefined : values[choice % values.length];
}
