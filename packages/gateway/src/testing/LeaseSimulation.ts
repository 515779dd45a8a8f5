import * as common from '@jayhaven/common';
import * as vitest from 'vitest';
import type { LeaseSnapshot, StoreFailure, TablePosition } from '../contracts/MetadataStore.js';
import { LeaderElector } from '../leadership/LeaderElector.js';
import type { LeaseTimes } from '../leadership/Lease.js';
import type { LeaseStore } from '../leadership/LeaseStore.js';
import type { Instant } from '../Types.js';
import { silentLogger } from './SilentLogger.js';

/** Interval at which each daemon that may do so sends an order, milliseconds. */
const orderIntervalMs = 20;
/** Time for a call to reach the store, and for its answer to return, milliseconds. */
const callMs = 2;

/** A change of the environment. */
export interface LeaseFault {
  readonly kind: 'copy' | 'restore' | 'storeDown' | 'cutDaemon' | 'restartDaemon';
  readonly daemon: number;
  readonly durationMs: number;
  /** Time until the next fault, milliseconds. */
  readonly pauseMs: number;
}

/** An order that a daemon sent. */
export interface SentOrder {
  readonly daemon: string;
  readonly token: number;
  readonly atMs: number;
}

interface StoredLease {
  readonly offset: number;
  readonly value: string;
}

/** The lease's topic in a store that can be restored from a copy. */
class LeaseTopic {
  public isDown = false;
  private _era = 1;
  private _records: readonly StoredLease[] = [];
  private _copy: readonly StoredLease[] = [];

  public copy(): void {
    this._copy = this._records;
  }

  public restore(): void {
    this._records = this._copy;
    this._era += 1;
  }

  public read(): LeaseSnapshot {
    const record = this._records.at(-1);
    return { era: this._era, end: this._records.length, ...(record && { record }) };
  }

  public write({ era, offset }: TablePosition, value: string): common.Outcome<number, StoreFailure> {
    if (offset !== this._records.length) {
      return common.fail({ kind: 'conflict', message: 'the topic has another end' });
    }
    this._records = [...this._records, { offset, value }];
    return era === this._era ? common.succeed(offset) : common.fail({ kind: 'restored', message: 'another era' });
  }
}

/** A daemon's calls to the topic, which take time and may be cut off. */
class SimulatedLeaseStore implements LeaseStore {
  public isCut = false;

  public constructor(private readonly _topic: LeaseTopic) {}

  public readLease(): Promise<common.Outcome<LeaseSnapshot, StoreFailure>> {
    return this._call(() => common.succeed(this._topic.read()));
  }

  public writeLease(expectedEnd: TablePosition, value: string): Promise<common.Outcome<number, StoreFailure>> {
    return this._call(() => this._topic.write(expectedEnd, value));
  }

  private async _call<Value>(
    call: () => common.Outcome<Value, StoreFailure>,
  ): Promise<common.Outcome<Value, StoreFailure>> {
    const failure = common.fail<StoreFailure>({ kind: 'unavailable', message: 'not reached' });
    await delay(callMs);
    if (!this._isReached()) {
      return failure;
    }
    const outcome = call();
    await delay(callMs);
    return this._isReached() ? outcome : failure;
  }

  private _isReached(): boolean {
    return !this.isCut && !this._topic.isDown;
  }
}

/** Daemons that compete for the lease in simulated time, under faults of the store. */
export class LeaseSimulation {
  public readonly orders: SentOrder[] = [];
  private readonly _topic = new LeaseTopic();
  private readonly _stores: SimulatedLeaseStore[];
  private readonly _electors: LeaderElector[];

  public constructor(
    daemonCount: number,
    private readonly _times: LeaseTimes,
  ) {
    this._stores = Array.from({ length: daemonCount }, () => new SimulatedLeaseStore(this._topic));
    this._electors = this._stores.map((store, index) => this._start(index, store, true));
  }

  public async run(faults: readonly LeaseFault[], calmMs: number): Promise<void> {
    await this._advance(calmMs);
    for (const fault of faults) {
      this._begin(fault);
      await this._advance(fault.pauseMs);
    }
    await this._advance(calmMs);
    for (const elector of this._electors) {
      await elector[Symbol.asyncDispose]();
    }
  }

  private _begin({ kind, daemon, durationMs }: LeaseFault): void {
    const index = daemon % this._stores.length;
    const store = this._stores[index];
    if (kind === 'copy') {
      this._topic.copy();
    } else if (kind === 'restore' || kind === 'storeDown') {
      this._topic.isDown = true;
      setTimeout(() => {
        this._topic.isDown = false;
        if (kind === 'restore') {
          this._topic.restore();
        }
      }, durationMs);
    } else if (kind === 'cutDaemon' && store) {
      store.isCut = true;
      setTimeout(() => (store.isCut = false), durationMs);
    } else if (kind === 'restartDaemon' && store) {
      void this._electors[index]?.[Symbol.asyncDispose]();
      this._electors[index] = this._start(index, store, false);
    }
  }

  private _start(index: number, store: LeaseStore, isFirstStart: boolean): LeaderElector {
    const self = { holder: `vm${index}`, peerAddress: '127.0.0.1:1' };
    const clock = { now };
    const elector = new LeaderElector(store, self, this._times, 0, clock, isFirstStart, () => false, silentLogger);
    elector.start();
    return elector;
  }

  private async _advance(durationMs: number): Promise<void> {
    const untilMs = now().steadyMs + durationMs;
    while (now().steadyMs < untilMs) {
      await vitest.vi.advanceTimersByTimeAsync(orderIntervalMs);
      for (const [index, elector] of this._electors.entries()) {
        const token = elector.orderToken(now());
        if (token !== undefined) {
          this.orders.push({ daemon: `vm${index}`, token, atMs: now().steadyMs });
        }
      }
    }
  }
}

function now(): Instant {
  return { steadyMs: Date.now(), wallMs: Date.now() };
}

function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
