import * as common from '@jayhaven/common';
import type { DriverEvents } from './TargetDriver.js';
import { TargetDriver } from './TargetDriver.js';
import type { Reports } from './Reports.js';
import type { OwnerServices } from './OwnerServices.js';

/** Interval of a look at all targets, milliseconds; changes of the state are looked at when they come. */
const scanIntervalMs = 500;

type OrdersMessage =
  | { readonly kind: 'scan' }
  | { readonly kind: 'verify'; readonly target: common.TargetAddress }
  | { readonly kind: 'finished'; readonly target: common.TargetAddress };

/** Runs one driver per target that has unsettled orders or replicas in transition. */
export class Orders extends common.Task<OrdersMessage> {
  private readonly _drivers = new Map<common.TargetAddress, TargetDriver>();
  private readonly _running = new Map<common.TargetAddress, Promise<void>>();
  private readonly _unsubscribe: common.Unsubscribe;
  private _scanPosted = false;

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _reports: Reports,
    private readonly _events: DriverEvents,
  ) {
    super();
    this._unsubscribe = _services.control.log.onChange((change) => {
      if (change.verdict.kind === 'accepted') {
        this._postScan();
      }
    });
    this.postEvery(scanIntervalMs, () => ({ kind: 'scan' }));
  }

  /** Whether this daemon may still send some order. */
  public get hasOwnOrders(): boolean {
    const { state, incarnation } = this._services.control.log;
    return [...state.orders.values()].some((order) => order.senders.has(incarnation));
  }

  /** Compares a target's ready replicas with its index. */
  public verify(target: common.TargetAddress): void {
    this.post({ kind: 'verify', target });
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
    for (const driver of this._drivers.values()) {
      driver.stop();
    }
    await Promise.all(this._running.values());
  }

  protected override handle(message: OrdersMessage): void {
    switch (message.kind) {
      case 'scan':
        this._scanPosted = false;
        this._scan();
        break;
      case 'verify':
        this._driverOf(message.target).verify();
        this._start(message.target);
        break;
      case 'finished':
        this._running.delete(message.target);
        if (this._drivers.get(message.target)?.hasWork() === false) {
          this._drivers.delete(message.target);
        }
        // A change may have come after the driver's last look.
        this._scan();
        break;
    }
  }

  private _postScan(): void {
    if (!this._scanPosted) {
      this._scanPosted = this.post({ kind: 'scan' });
    }
  }

  private _scan(): void {
    const { state } = this._services.control.log;
    const targets = new Set<common.TargetAddress>();
    for (const order of state.orders.values()) {
      targets.add(order.target);
    }
    for (const replica of state.replicas.values()) {
      targets.add(replica.target);
    }
    for (const target of this._drivers.keys()) {
      targets.add(target);
    }
    for (const target of targets) {
      this._start(target);
    }
  }

  private _start(target: common.TargetAddress): void {
    const driver = this._drivers.get(target);
    if (this._running.has(target)) {
      driver?.wake();
    } else if ((driver ?? this._newDriver(target)).hasWork()) {
      this._run(this._driverOf(target));
    }
  }

  private _run(driver: TargetDriver): void {
    const { target } = driver;
    const finished = driver.run().then(() => {
      if (!this.post({ kind: 'finished', target })) {
        this._running.delete(target);
      }
    });
    this._running.set(target, finished);
  }

  private _driverOf(target: common.TargetAddress): TargetDriver {
    let driver = this._drivers.get(target);
    if (driver === undefined) {
      driver = this._newDriver(target);
      this._drivers.set(target, driver);
    }
    return driver;
  }

  private _newDriver(target: common.TargetAddress): TargetDriver {
    return new TargetDriver(this._services, this._reports, this._events, target);
  }
}
