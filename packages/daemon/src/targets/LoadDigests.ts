import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { ControlPlane, LoadView } from '../Types.js';
import { chooseCollector } from './chooseCollector.js';
import type { LeavingVms } from './LeavingVms.js';
import { digestsSchema, type DigestMessage } from './schemas.js';

/** A subscription ends this long after its last use. */
const subscriptionIdleMs = 10_000;
/** Interval at which subscriptions are renewed; the collector keeps them for twice this time. */
export const renewIntervalMs = 10_000;
const subscribeTimeoutMs = 2_000;
const tickMs = 500;

type DigestsMessage =
  | { readonly kind: 'tick' }
  | { readonly kind: 'members' }
  | { readonly kind: 'digests'; readonly digests: readonly DigestMessage[] }
  | { readonly kind: 'failed'; readonly targets: readonly common.TargetAddress[] };

interface Subscription {
  lastUsedMs: number;
  /** Collector that has the subscription, and the time of its last renewal. */
  collector: string | undefined;
  renewedMs: number;
}

/** Receives the load of the targets to which this daemon routes. */
export class LoadDigests extends common.Task<DigestsMessage> implements LoadView {
  private readonly _subscriptions = new Map<common.TargetAddress, Subscription>();
  private readonly _digests = new Map<common.TargetAddress, decisions.LoadDigest>();
  private readonly _unsubscribe: common.Unsubscribe;

  public constructor(
    private readonly _now: () => number,
    private readonly _control: ControlPlane,
    private readonly _leaving: LeavingVms,
  ) {
    super();
    _control.peers.handle('load.digest', (parameters) => {
      const parsed = digestsSchema.safeParse(parameters);
      if (parsed.success) {
        this.post({ kind: 'digests', digests: parsed.data.digests });
      }
      return Promise.resolve({});
    });
    this._unsubscribe = _control.peers.onMembersChanged(() => {
      this.post({ kind: 'members' });
    });
    this.postEvery(tickMs, () => ({ kind: 'tick' }));
  }

  public subscribe(target: common.TargetAddress): void {
    const subscription = this._subscriptions.get(target);
    if (subscription === undefined) {
      this._subscriptions.set(target, { lastUsedMs: this._now(), collector: undefined, renewedMs: -Infinity });
    } else {
      subscription.lastUsedMs = this._now();
    }
  }

  public digest(target: common.TargetAddress): decisions.LoadDigest | undefined {
    return this._digests.get(target);
  }

  public isLeaving(vm: common.VmName): boolean {
    return this._leaving.isLeaving(vm);
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._unsubscribe();
    await super[Symbol.asyncDispose]();
  }

  protected override handle(message: DigestsMessage): void {
    switch (message.kind) {
      case 'tick':
      case 'members':
        this._renew(this._now());
        break;
      case 'digests':
        for (const digest of message.digests) {
          this._receive(digest);
        }
        break;
      case 'failed':
        for (const target of message.targets) {
          const subscription = this._subscriptions.get(target);
          if (subscription !== undefined) {
            subscription.collector = undefined;
          }
        }
        break;
    }
  }

  private _renew(nowMs: number): void {
    const members = this._control.peers.members
      .filter((member) => !member.suspected || member.self)
      .map((member) => member.incarnation);
    const due = new Map<string, common.TargetAddress[]>();
    for (const [target, subscription] of this._subscriptions) {
      if (nowMs - subscription.lastUsedMs > subscriptionIdleMs) {
        this._subscriptions.delete(target);
        this._digests.delete(target);
        continue;
      }
      const collector = chooseCollector(target, members);
      if (
        collector !== undefined &&
        (collector !== subscription.collector || nowMs - subscription.renewedMs > renewIntervalMs)
      ) {
        subscription.collector = collector;
        subscription.renewedMs = nowMs;
        due.set(collector, [...(due.get(collector) ?? []), target]);
      }
    }
    for (const [collector, targets] of due) {
      this._requestDigests(collector, targets);
    }
  }

  private _requestDigests(collector: string, targets: readonly common.TargetAddress[]): void {
    void this._control.peers.call(collector, 'load.subscribe', { targets }, subscribeTimeoutMs).then((outcome) => {
      const parsed = outcome.ok ? digestsSchema.safeParse(outcome.value) : undefined;
      if (parsed?.success === true) {
        this.post({ kind: 'digests', digests: parsed.data.digests });
      } else {
        this.post({ kind: 'failed', targets });
      }
    });
  }

  /** Stores a digest unless it is older. The engine's sequence decides which digest is newer, not the arrival. */
  private _receive(message: DigestMessage): void {
    if (!this._subscriptions.has(message.target)) {
      return;
    }
    const { restarted, ...digest } = message;
    const previous = this._digests.get(message.target);
    // The sequence does not increase while a target is unreachable, and starts over when its engine restarts.
    const isOlder = previous?.reachable === true && digest.sequence < previous.sequence && !restarted;
    if (!isOlder) {
      this._digests.set(message.target, digest);
    }
  }
}
