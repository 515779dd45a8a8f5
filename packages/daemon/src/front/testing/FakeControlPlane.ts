import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type * as types from '../../Types.js';
import { FakeClaims } from './FakeClaims.js';

/** Control plane whose state is set by a test; appending fails. */
export class FakeControlPlane implements types.ControlPlane {
  public readonly incarnation = 'test#1';
  public readonly claims = new FakeClaims();
  public readonly log: types.ControlLog;
  private readonly _changes = new common.Emitter<types.ControlChange>();
  private _state: decisions.ControlState;

  public constructor(partners: readonly string[]) {
    this._state = decisions.emptyControlState({
      maximumConcurrentLoads: 4,
      maximumAdaptersInTransit: 30,
      partners,
    });
    const readState = (): decisions.ControlState => this._state;
    this.log = {
      incarnation: this.incarnation,
      get state() {
        return readState();
      },
      lag: { appliedOffset: 0, highestSeenOffset: 0, source: 'log', lagging: false, logAvailable: true },
      onChange: this._changes.event,
      append: () => Promise.reject(new Error('the front appends nothing')),
    };
  }

  public get peers(): types.Peers {
    throw new Error('the front uses no peers');
  }

  /** Changes the state and notifies the listeners. */
  public change(
    stateChanges: Partial<decisions.ControlState>,
    body: decisions.ControlRecordBody = { kind: 'replicaReady', replica: 0 },
  ): void {
    const offset = this._state.appliedOffset + 1;
    this._state = { ...this._state, ...stateChanges, appliedOffset: offset };
    const record = { id: { incarnation: 'other#1', sequence: offset }, clock: { wallMs: 0, counter: 0 }, body, offset };
    this._changes.fire({ record, verdict: { kind: 'accepted' }, state: this._state });
  }

  /** Sets a configuration value. */
  public configure(key: string, value: unknown): void {
    const configuration = new Map(this._state.configuration);
    const version = this._state.appliedOffset + 1;
    const clock = { wallMs: 0, counter: 0 };
    configuration.set(key, { key, value, partner: 'solano', operator: 'test', reason: '', version, clock });
    this.change({ configuration });
  }

  /** Adds or replaces a VM with one target. */
  public setVm(vm: string, state: 'live' | 'leaving', target: Partial<decisions.TargetDescription> = {}): void {
    const vms = new Map(this._state.vms);
    const existing = vms.get(vm)?.targets[0];
    const description = {
      address: '127.0.0.1:1',
      role: 'engine',
      acceleratorBytes: [80e9],
      fencing: 'checked',
      ...existing,
      ...target,
    } as const;
    vms.set(vm, { vm, failureDomain: 'a', state, targets: [description] });
    this.change({ vms });
  }

  /** Adds or replaces a replica. */
  public setReplica(
    replica: Partial<decisions.ReplicaEntry> & { readonly replica: number; readonly vm: string },
  ): void {
    const target = this._state.vms.get(replica.vm)?.targets[0]?.address ?? '';
    const entry = {
      partner: 'solano',
      model: 'walk',
      version: '1',
      target,
      bytes: [1],
      state: 'ready',
      urgency: 'interactive',
      adapters: new Map(),
      ...replica,
    } as const;
    this.change({ replicas: new Map(this._state.replicas).set(entry.replica, entry) });
  }

  public leave(): Promise<void> {
    return Promise.resolve();
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }
}
