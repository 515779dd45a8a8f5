import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { AdoptedOrders, ReconcilerEvents } from './TargetReconciler.js';
import { TargetReconciler } from './TargetReconciler.js';
import type { ReportAppender } from './ReportAppender.js';
import type { OwnerServices } from './OwnerServices.js';

/** Interval of the scan of all targets, milliseconds; a change of the state starts a scan at once. */
const scanIntervalMs = 500;

type ReconcilerMessage =
  | { readonly kind: 'scan' }
  | { readonly kind: 'verify'; readonly target: common.TargetAddress }
  | { readonly kind: 'finished'; readonly target: common.TargetAddress };

/** Runs one reconciler for each target with unsettled orders or replicas in transition. */
export class ReconcilerManager extends common.Task<ReconcilerMessage> {
  private readonly _reconcilers = new Map<common.TargetAddress, TargetReconciler>();
  private readonly _adopted: AdoptedOrders = new Map();
  private readonly _running = new Map<common.TargetAddress, Promise<void>>();
  private readonly _unsubscribe: common.Unsubscribe;
  private _scanPosted = false;

  public constructor(
    private readonly _services: OwnerServices,
    private readonly _reports: ReportAppender,
    private readonly _events: ReconcilerEvents,
  ) {
    super();
    this._unsubscribe = _services.control.log.onChange((change) => {
      if (change.verdict.kind === 'accepted') {
        this._postScan();
      }
    });
    this.postEvery(scanIntervalMs, () => ({ kind: 'scan' }));
  }

  /** Whether this daemon may still send an order. */
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
    for (const reconciler of this._reconcilers.values()) {
      reconciler.stop();
    }
    await Promise.all(this._running.values());
  }

  protected override handle(message: ReconcilerMessage): void {
    switch (message.kind) {
      case 'scan':
        this._scanPosted = false;
        this._scan();
        break;
      case 'verify':
        this._reconcilerOf(message.target).verify();
        this._start(message.target);
        break;
      case 'finished':
        this._running.delete(message.target);
        if (this._reconcilers.get(message.target)?.hasWork() === false) {
          this._reconcilers.delete(message.target);
        }
        // The state may have changed after the reconciler's last round.
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
    this._forgetEndedOrders(state);
    const targets = new Set<common.TargetAddress>();
    for (const order of state.orders.values()) {
      targets.add(order.target);
    }
    for (const replica of state.replicas.values()) {
      targets.add(replica.target);
    }
    for (const target of this._reconcilers.keys()) {
      targets.add(target);
    }
    for (const target of targets) {
      this._start(target);
    }
  }

  private _forgetEndedOrders(state: decisions.ControlState): void {
    for (const order of this._adopted.keys()) {
      if (!state.orders.has(order)) {
        this._adopted.delete(order);
      }
    }
  }

  private _start(target: common.TargetAddress): void {
    const reconciler = this._reconcilers.get(target);
    if (this._running.has(target)) {
      reconciler?.trigger();
    } else if ((reconciler ?? this._createReconciler(target)).hasWork()) {
      this._run(this._reconcilerOf(target));
    }
  }

  private _run(reconciler: TargetReconciler): void {
    const { target } = reconciler;
    const finished = reconciler.run().then(() => {
      if (!this.post({ kind: 'finished', target })) {
        this._running.delete(target);
      }
    });
    this._running.set(target, finished);
  }

  private _reconcilerOf(target: common.TargetAddress): TargetReconciler {
    let reconciler = this._reconcilers.get(target);
    if (reconciler === undefined) {
      reconciler = this._createReconciler(target);
      this._reconcilers.set(target, reconciler);
    }
    return reconciler;
  }

  private _createReconciler(target: common.TargetAddress): TargetReconciler {
    return new TargetReconciler(this._services, this._reports, this._events, target, this._adopted);
  }
}
