import * as common from '@jayhaven/common';
import type * as decisions from '@jayhaven/decisions';
import type { ControlPlane } from '../Types.js';
import { chooseCollector } from './chooseCollector.js';
import { renewIntervalMs } from './LoadDigests.js';
import {
  digestsSchema,
  indexSchema,
  loadReportSchema,
  subscribeSchema,
  type DigestMessage,
  type LoadReport,
} from './schemas.js';

const pollIntervalMs = 1_000;
const pollTimeoutMs = 900;
/** Number of load polls per comparison of an engine's index with the replayed state. */
const pollsPerIndex = 2;
/** Consecutive failures after which a target counts as unreachable. */
const failuresUntilUnreachable = 3;
const sendTimeoutMs = 1_000;
/** Share of the slots by which a load must change to be sent; smaller changes do not affect a choice of two. */
const significantChangeShare = 1 / 8;
/** An unchanged load is sent again after this time, because routers give a digest less weight as it ages. */
const refreshMs = 4_000;
/** Lifetime of a subscription; it outlives one lost renewal. */
const subscriptionMs = 2 * renewIntervalMs;

type CollectorMessage =
  | { readonly kind: 'poll' }
  | {
      readonly kind: 'subscribed';
      readonly daemon: common.Incarnation;
      readonly targets: readonly common.TargetAddress[];
      readonly reply: (digests: readonly DigestMessage[]) => void;
    }
  | { readonly kind: 'polled'; readonly target: common.TargetAddress; readonly report: LoadReport | undefined }
  | { readonly kind: 'indexed'; readonly target: common.TargetAddress; readonly body: unknown }
  | { readonly kind: 'sent'; readonly daemon: common.Incarnation };

interface CollectedTarget {
  /** The last digest that was sent. */
  digest: DigestMessage | undefined;
  sentMs: number;
  failures: number;
  polling: boolean;
  polls: number;
}

/** Polls the load of the targets that are assigned to this daemon, and sends changes to the subscribers. */
export class LoadCollector extends common.Task<CollectorMessage> {
  private readonly _http = new common.JsonHttpClient({ maximumSocketsPerHost: 2 });
  private readonly _targets = new Map<common.TargetAddress, CollectedTarget>();
  /** Expiry of each daemon's subscription, by target. */
  private readonly _subscribers = new Map<common.TargetAddress, Map<common.Incarnation, number>>();
  /** Changes to send after the current message to a daemon; later ones replace earlier ones. */
  private readonly _outbox = new Map<common.Incarnation, Map<common.TargetAddress, DigestMessage>>();
  private readonly _sending = new Set<common.Incarnation>();

  public constructor(
    private readonly _now: () => number,
    private readonly _control: ControlPlane,
    /** Called when the engine's index is inconsistent with the replayed state. */
    private readonly _onInconsistency: (target: common.TargetAddress) => void,
  ) {
    super();
    _control.peers.handle('load.subscribe', (parameters, caller) => this._onSubscribe(parameters, caller));
    this.postEvery(pollIntervalMs, () => ({ kind: 'poll' }));
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    await super[Symbol.asyncDispose]();
    await this._http[Symbol.asyncDispose]();
  }

  protected override handle(message: CollectorMessage): void {
    switch (message.kind) {
      case 'poll':
        this._pollAll();
        break;
      case 'subscribed':
        this._addSubscriber(message.daemon, message.targets);
        message.reply(message.targets.flatMap((target) => this._targets.get(target)?.digest ?? []));
        break;
      case 'polled':
        this._handlePoll(message.target, message.report);
        break;
      case 'indexed':
        this._handleIndex(message.target, message.body);
        break;
      case 'sent':
        this._sending.delete(message.daemon);
        this._flush(message.daemon);
        break;
    }
  }

  private async _onSubscribe(parameters: unknown, caller: common.Incarnation): Promise<unknown> {
    const parsed = subscribeSchema.safeParse(parameters);
    if (!parsed.success) {
      return { digests: [] };
    }
    const digests = await new Promise<readonly DigestMessage[]>((resolve) => {
      const { targets } = parsed.data;
      if (!this.post({ kind: 'subscribed', daemon: caller, targets, reply: resolve })) {
        resolve([]);
      }
    });
    return digestsSchema.parse({ digests });
  }

  private _addSubscriber(daemon: common.Incarnation, targets: readonly common.TargetAddress[]): void {
    for (const target of targets) {
      const subscribers = this._subscribers.get(target) ?? new Map<common.Incarnation, number>();
      subscribers.set(daemon, this._now() + subscriptionMs);
      this._subscribers.set(target, subscribers);
      if (!this._targets.has(target) && this._listedTargets().has(target)) {
        this._pollTarget(target);
      }
    }
  }

  private _listedTargets(): ReadonlySet<common.TargetAddress> {
    const listed = new Set<common.TargetAddress>();
    for (const vm of this._control.log.state.vms.values()) {
      for (const target of vm.targets) {
        listed.add(target.address);
      }
    }
    return listed;
  }

  private _pollAll(): void {
    const members = this._control.peers.members
      .filter((member) => !member.suspected || member.self)
      .map((member) => member.incarnation);
    const collectedTargets = new Set<common.TargetAddress>();
    this._expireSubscribers();
    for (const target of this._listedTargets()) {
      // A subscriber may have another view of the members than this daemon; its targets are collected nevertheless.
      if (chooseCollector(target, members) === this._control.incarnation || this._subscribers.has(target)) {
        collectedTargets.add(target);
      }
    }
    for (const target of this._targets.keys()) {
      if (!collectedTargets.has(target)) {
        this._targets.delete(target);
      }
    }
    for (const target of collectedTargets) {
      this._pollTarget(target);
    }
  }

  private _expireSubscribers(): void {
    const nowMs = this._now();
    for (const [target, subscribers] of this._subscribers) {
      for (const [daemon, untilMs] of subscribers) {
        if (untilMs < nowMs) {
          subscribers.delete(daemon);
        }
      }
      if (subscribers.size === 0) {
        this._subscribers.delete(target);
      }
    }
  }

  private _pollTarget(target: common.TargetAddress): void {
    const collected = this._targets.get(target) ?? {
      digest: undefined,
      sentMs: -Infinity,
      failures: 0,
      polling: false,
      polls: 0,
    };
    this._targets.set(target, collected);
    if (collected.polling) {
      return;
    }
    collected.polling = true;
    collected.polls += 1;
    const loadRequest = { method: 'GET', url: `http://${target}/v2/load`, timeoutMs: pollTimeoutMs } as const;
    void this._http.request(loadRequest).then((outcome) => {
      this.post({ kind: 'polled', target, report: outcome.ok ? parseLoadReport(outcome.value) : undefined });
    });
    if (collected.polls % pollsPerIndex === 0 && this._isEngine(target)) {
      this._readIndex(target);
    }
  }

  private _readIndex(target: common.TargetAddress): void {
    const url = `http://${target}/v2/repository/index`;
    void this._http.request({ method: 'POST', url, body: {}, timeoutMs: pollTimeoutMs }).then((outcome) => {
      if (outcome.ok && outcome.value.status === 200) {
        this.post({ kind: 'indexed', target, body: outcome.value.body });
      }
    });
  }

  private _isEngine(target: common.TargetAddress): boolean {
    return [...this._control.log.state.vms.values()].some((vm) =>
      vm.targets.some((entry) => entry.address === target && entry.role === 'engine'),
    );
  }

  private _handlePoll(target: common.TargetAddress, report: LoadReport | undefined): void {
    const collected = this._targets.get(target);
    if (collected === undefined) {
      return;
    }
    collected.polling = false;
    const previous = collected.digest;
    if (report === undefined) {
      collected.failures += 1;
      if (collected.failures === failuresUntilUnreachable) {
        const lastDigest = previous ?? { target, sequence: 0, running: 0, waiting: 0, slots: 0, restarted: false };
        this._publish(collected, { ...lastDigest, reachable: false, restarted: false });
      }
      return;
    }
    collected.failures = 0;
    // Polls of one collector are sequential, so a lower sequence means that the engine has restarted.
    const restarted = previous !== undefined && report.sequence < previous.sequence;
    if (restarted) {
      // The engine has lost its models and the fencing token that it confirmed.
      this._onInconsistency(target);
    }
    const digest = { target, ...report, reachable: true, restarted };
    const isRefreshDue = loadOf(digest) > 0 && this._now() - collected.sentMs >= refreshMs;
    if (previous === undefined || restarted || isRefreshDue || isSignificantChange(previous, digest)) {
      this._publish(collected, digest);
    }
  }

  private _publish(collected: CollectedTarget, digest: DigestMessage): void {
    collected.digest = digest;
    collected.sentMs = this._now();
    for (const daemon of this._subscribers.get(digest.target)?.keys() ?? []) {
      const outbox = this._outbox.get(daemon) ?? new Map<common.TargetAddress, DigestMessage>();
      const pendingDigest = outbox.get(digest.target);
      outbox.set(digest.target, { ...digest, restarted: digest.restarted || pendingDigest?.restarted === true });
      this._outbox.set(daemon, outbox);
      this._flush(daemon);
    }
  }

  /** Sends one message at a time to each daemon, so that a slow one occupies one socket and one batch only. */
  private _flush(daemon: common.Incarnation): void {
    const outbox = this._outbox.get(daemon);
    if (outbox === undefined || this._sending.has(daemon)) {
      return;
    }
    this._outbox.delete(daemon);
    this._sending.add(daemon);
    const digests = [...outbox.values()];
    void this._control.peers.call(daemon, 'load.digest', { digests }, sendTimeoutMs).then(() => {
      this.post({ kind: 'sent', daemon });
    });
  }

  private _handleIndex(target: common.TargetAddress, body: unknown): void {
    const parsed = indexSchema.safeParse(body);
    if (parsed.success && isInconsistent(this._control.log.state, target, parsed.data)) {
      this._onInconsistency(target);
    }
  }
}

/** Parses the load report in a response; undefined if there is none. */
function parseLoadReport(response: common.JsonResponse): LoadReport | undefined {
  // A service need not report its load; the answer still shows that it is reachable.
  if (response.status === 404) {
    return { sequence: 0, running: 0, waiting: 0, slots: 0 };
  }
  const parsed = loadReportSchema.safeParse(response.body);
  return response.status === 200 && parsed.success ? parsed.data : undefined;
}

function isSignificantChange(previous: DigestMessage, next: DigestMessage): boolean {
  const changedBy = Math.abs(loadOf(next) - loadOf(previous));
  const becameIdle = loadOf(next) === 0 && changedBy > 0;
  return (
    becameIdle ||
    changedBy >= Math.max(1, next.slots * significantChangeShare) ||
    previous.slots !== next.slots ||
    !previous.reachable
  );
}

/** Number of requests at a target. */
function loadOf(digest: DigestMessage): number {
  return digest.running + digest.waiting;
}

/** Whether the index lacks a ready replica or has a model that neither a replica nor an order accounts for. */
function isInconsistent(
  state: decisions.ControlState,
  target: common.TargetAddress,
  index: readonly { readonly name: string; readonly version: string; readonly state: string }[],
): boolean {
  const presentModels = new Set(
    index.filter((model) => model.state !== 'UNAVAILABLE').map((model) => `${model.name}@${model.version}`),
  );
  const accountedFor = new Set<string>();
  for (const replica of state.replicas.values()) {
    const key = `${replica.partner}/${replica.model}@${replica.version}`;
    if (replica.target === target) {
      accountedFor.add(key);
      if (replica.state === 'ready' && !presentModels.has(key)) {
        return true;
      }
    }
  }
  for (const order of state.orders.values()) {
    if (order.target === target) {
      accountedFor.add(`${order.partner}/${order.model}@${order.version}`);
    }
  }
  return [...presentModels].some((key) => !accountedFor.has(key));
}
