import { messageIntervals } from '../peers/messageIntervals.js';
import { QuotaTicket } from '../quotas/QuotaTicket.js';
import type { QuotaAnswer, QuotaAsk } from '../quotas/Types.js';
import type { TenantQuota } from '../Types.js';
import type { QuotaSimulationOptions } from './quotaSimulationOptions.js';
import { SimulatedQuotaDaemon, type SimulatedRequest } from './SimulatedQuotaDaemon.js';

const stepMs = 5;
const tenant = 't';
/** Time without a message after which the leader considers a daemon silent, milliseconds. */
const daemonSilenceMs = 1_500;
/** Shortest and longest time from the loss of a leader until the next one may grant, milliseconds. */
const handoverMs = [2_200, 4_000] as const;
const statusMs = 400;
const tickMs = 100;

interface Use {
  readonly atMs: number;
  readonly units: number;
  readonly waitedMs: number;
}

/** Daemons that share the quota of one tenant over an unreliable network, in simulated time. */
export class QuotaSimulation {
  public readonly uses: Use[] = [];
  /** Requests that callers made, retries included. */
  public readonly asked: { readonly atMs: number; readonly units: number }[] = [];
  /** Times of refusals with 429. */
  public readonly refusedMs: number[] = [];
  /** Times at which callers gave up waiting. */
  public readonly expiredMs: number[] = [];
  /** Times of messages between the daemons and the leader, statuses aside. */
  public readonly messagesMs: number[] = [];
  private readonly _daemons: SimulatedQuotaDaemon[];
  private _deliveries: { readonly atMs: number; readonly deliver: () => void }[] = [];
  private readonly _retries: { readonly atMs: number; readonly units: number; readonly leftMs: number }[] = [];
  /** Time of the last delivery by link and direction. */
  private readonly _lastDeliveryMs = new Map<string, number>();
  private _leader: SimulatedQuotaDaemon | undefined;
  private _nextLeaderMs = 0;
  private _term = 0;
  private _nowMs = 0;

  public constructor(private readonly _options: QuotaSimulationOptions) {
    const indices = Array.from({ length: _options.daemonCount }, (_none, index) => index);
    this._daemons = indices.map((index) => new SimulatedQuotaDaemon(`vm${index}`, _options, () => this._nowMs));
  }

  public run(): this {
    for (; this._nowMs < this._options.durationMs; this._nowMs += stepMs) {
      this._injectFaults();
      this._electLeader();
      this._deliver();
      this._arrive();
      for (const daemon of this._daemons) {
        if (!daemon.isSuspended()) {
          daemon.steadyMs += stepMs;
          this._stepDaemon(daemon);
        }
      }
      this._stepLeader();
    }
    return this;
  }

  /**
   * Largest number of units in a window, less the allowed number. A lower quota is binding one window after it takes
   * effect, so the larger one of both ends of the window counts.
   */
  public largestExcess(windowMs: number, allowed: (quota: TenantQuota) => number): number {
    let start = 0;
    let units = 0;
    let largest = Number.NEGATIVE_INFINITY;
    for (const use of this.uses) {
      units += use.units;
      for (let first = this.uses[start]; first !== undefined && first.atMs <= use.atMs - windowMs;) {
        units -= first.units;
        start += 1;
        first = this.uses[start];
      }
      const quotas = [this._options.quota(use.atMs), this._options.quota(use.atMs - windowMs)];
      largest = Math.max(largest, units - Math.max(...quotas.map(allowed)));
    }
    return largest;
  }

  /** Units that callers asked for in the window that ends at a time. */
  public askedBefore(atMs: number, windowMs: number): number {
    const recent = this.asked.filter((one) => one.atMs > atMs - windowMs && one.atMs <= atMs);
    return recent.reduce((sum, { units }) => sum + units, 0);
  }

  public unitsBetween(fromMs: number, toMs: number): number {
    return this.uses.reduce((sum, { atMs, units }) => sum + (atMs >= fromMs && atMs < toMs ? units : 0), 0);
  }

  private _injectFaults(): void {
    const { faults, random } = this._options;
    const happens = (perSecond: number): boolean => perSecond > 0 && random() < (perSecond * stepMs) / 1_000;
    if (happens(faults.leaderLoss)) {
      this._loseLeader();
    }
    if (happens(faults.killAll)) {
      this._loseLeader();
      for (const daemon of this._daemons) {
        daemon.restart();
      }
    }
    if (happens(faults.partition)) {
      const share = random();
      const untilMs = this._nowMs + random() * 6_000;
      for (const daemon of this._daemons.filter((one) => one !== this._leader && random() < share)) {
        daemon.cutUntilMs = untilMs;
      }
    }
    for (const daemon of this._daemons) {
      if (happens(faults.suspension)) {
        daemon.suspendedUntilMs = this._nowMs + random() * 3_000;
      }
      if (happens(faults.cut)) {
        daemon.cutUntilMs = this._nowMs + random() * 6_000;
      }
      if (happens(faults.restart)) {
        if (daemon === this._leader) {
          this._loseLeader();
        }
        daemon.restart();
      }
    }
  }

  private _loseLeader(): void {
    if (this._leader !== undefined) {
      this._leader.leaderTerm = undefined;
      this._leader = undefined;
      this._nextLeaderMs = this._nowMs + handoverMs[0] + this._options.random() * (handoverMs[1] - handoverMs[0]);
    }
  }

  private _electLeader(): void {
    // The lease of a suspended leader lapses.
    if (this._leader?.isSuspended() === true) {
      this._loseLeader();
    }
    if (this._leader === undefined && this._nowMs >= this._nextLeaderMs) {
      const candidates = this._daemons.filter((daemon) => !daemon.isSuspended());
      this._leader = candidates[Math.floor(this._options.random() * candidates.length)];
      if (this._leader !== undefined) {
        this._term += 1;
        this._leader.leaderTerm = this._term;
        this._leader.cutUntilMs = 0;
        this._leader.receivedMs.clear();
        this._leader.allocator.reset(this._leader.steadyMs);
        this._leader.quotas.leaderChanged();
      }
    }
  }

  private _arrive(): void {
    const { demandPerSecond, meanUnits, deadlineMs, random, firstShare = 0 } = this._options;
    const expected = (demandPerSecond(this._nowMs) * stepMs) / 1_000 / meanUnits;
    for (let count = poisson(expected, random); count > 0; count -= 1) {
      const units = meanUnits === 1 ? 1 : Math.round(meanUnits * (0.3 + 1.4 * random()));
      this._enter(units, deadlineMs, random() < firstShare ? 0 : Math.floor(random() * this._daemons.length), false);
    }
    for (const retry of this._retries.filter(({ atMs }) => atMs === this._nowMs)) {
      this._enter(retry.units, retry.leftMs, Math.floor(random() * this._daemons.length), true);
    }
  }

  private _enter(units: number, deadlineMs: number, index: number, isRetry: boolean): void {
    const daemon = this._daemons[index];
    if (daemon === undefined || daemon.isSuspended()) {
      return;
    }
    this.asked.push({ atMs: this._nowMs, units });
    const dueMs = daemon.steadyMs + deadlineMs;
    const ticket = new QuotaTicket(units, (nowMs) => dueMs - nowMs);
    daemon.requests.push({ ticket, arrivedMs: this._nowMs, isRetry });
    daemon.quotas.enter({ name: tenant, quota: this._options.quota(this._nowMs) }, ticket, daemon.now());
  }

  private _stepDaemon(daemon: SimulatedQuotaDaemon): void {
    if (daemon.requests.length > 0 || this._nowMs % tickMs === 0) {
      daemon.quotas.step(daemon.now());
    }
    this._ask(daemon);
    if (daemon.requests.length > 0) {
      daemon.requests = daemon.requests.filter((request) => this._isOpen(daemon, request));
    }
    if (daemon.steadyMs - daemon.lastReportMs >= statusMs) {
      daemon.lastReportMs = daemon.steadyMs;
      const leader = this._leader;
      this._send(daemon, 'up', () => {
        if (leader?.receivedMs.has(daemon.name) === true) {
          leader.receivedMs.set(daemon.name, leader.steadyMs);
        }
      });
    }
  }

  private _isOpen(daemon: SimulatedQuotaDaemon, { ticket, arrivedMs, isRetry }: SimulatedRequest): boolean {
    const { result, units } = ticket;
    const leftMs = ticket.timeLeftMs(daemon.steadyMs);
    if (result?.kind === 'granted') {
      this.uses.push({ atMs: this._nowMs, units, waitedMs: this._nowMs - arrivedMs });
      return false;
    }
    if (result?.kind === 'refused') {
      this.refusedMs.push(this._nowMs);
      const { retryAfterMs } = result;
      if (!isRetry && retryAfterMs !== undefined && retryAfterMs < leftMs / 3) {
        const atMs = Math.ceil((this._nowMs + Math.max(retryAfterMs, stepMs)) / stepMs) * stepMs;
        this._retries.push({ atMs, units, leftMs: leftMs - retryAfterMs });
      }
      return false;
    }
    if (leftMs <= 0) {
      daemon.quotas.withdraw(tenant, ticket);
      this.expiredMs.push(this._nowMs);
      return false;
    }
    return true;
  }

  private _ask(daemon: SimulatedQuotaDaemon): void {
    const now = daemon.now();
    const isDue = now.steadyMs - daemon.lastAskMs >= messageIntervals(this._daemons.length).urgentReportMs;
    if (!isDue || !daemon.quotas.needsAsk(now)) {
      return;
    }
    daemon.lastAskMs = now.steadyMs;
    const ask = daemon.quotas.takeAsk(now);
    if (ask === undefined) {
      return;
    }
    if (daemon.leaderTerm !== undefined) {
      this._apply(daemon, daemon.allocator.answer(ask, daemon.steadyMs), daemon.leaderTerm);
      return;
    }
    const leader = this._leader;
    const term = this._term;
    this.messagesMs.push(this._nowMs);
    this._send(daemon, 'up', () => {
      if (leader?.leaderTerm === term) {
        this._answer(leader, daemon, ask);
      }
    });
  }

  private _answer(leader: SimulatedQuotaDaemon, daemon: SimulatedQuotaDaemon, ask: QuotaAsk): void {
    const { leaderTerm } = leader;
    leader.receivedMs.set(daemon.name, leader.steadyMs);
    const answer = leader.allocator.answer(ask, leader.steadyMs);
    this.messagesMs.push(this._nowMs);
    this._send(daemon, 'down', () => {
      this._apply(daemon, answer, leaderTerm);
    });
  }

  /** Applies an answer of the leader that the daemon follows. */
  private _apply(daemon: SimulatedQuotaDaemon, answer: QuotaAnswer | undefined, term: number | undefined): void {
    if (answer !== undefined && (daemon.leaderTerm ?? daemon.followedTerm) === term) {
      daemon.lastLeaderMessageMs = daemon.steadyMs;
      daemon.quotas.applyAnswer(answer, daemon.now());
    }
  }

  private _stepLeader(): void {
    const leader = this._leader;
    if (leader === undefined || leader.isSuspended()) {
      return;
    }
    if (this._nowMs % tickMs === 0) {
      const silent = [...leader.receivedMs].filter(([, ms]) => leader.steadyMs - ms >= daemonSilenceMs);
      leader.allocator.tick(new Set(silent.map(([name]) => name)), leader.steadyMs);
    }
    if (this._nowMs % statusMs === 0) {
      const { leaderTerm } = leader;
      for (const daemon of this._daemons.filter((one) => one !== leader)) {
        this._send(daemon, 'down', () => {
          this._receiveStatus(daemon, leaderTerm);
        });
      }
    }
  }

  private _receiveStatus(daemon: SimulatedQuotaDaemon, term: number | undefined): void {
    if (term === undefined || term < (daemon.followedTerm ?? 0)) {
      return;
    }
    daemon.lastLeaderMessageMs = daemon.steadyMs;
    if (daemon.followedTerm !== term) {
      daemon.followedTerm = term;
      daemon.quotas.leaderChanged();
    }
  }

  /**
   * Sends a message between the leader and a daemon. It is lost while the daemon is cut off, and arrives after those sent
   * before it, unless it is repeated.
   */
  private _send(daemon: SimulatedQuotaDaemon, direction: 'up' | 'down', deliver: () => void): void {
    const { random, faults } = this._options;
    if (daemon.isCut()) {
      return;
    }
    const delayMs = random() * (random() < faults.delayedShare ? 900 : 10);
    const leaderReadyMs = this._leader?.suspendedUntilMs ?? 0;
    const link = `${daemon.name} ${direction}`;
    const earliestMs = Math.max(this._lastDeliveryMs.get(link) ?? 0, daemon.suspendedUntilMs, leaderReadyMs);
    const atMs = Math.max(this._nowMs + delayMs, earliestMs);
    this._lastDeliveryMs.set(link, atMs);
    this._deliveries.push({ atMs, deliver });
    if (random() < faults.repeatedShare) {
      this._deliveries.push({ atMs: atMs + random() * 2_000, deliver });
    }
  }

  private _deliver(): void {
    const due = this._deliveries.filter(({ atMs }) => atMs <= this._nowMs);
    if (due.length > 0) {
      this._deliveries = this._deliveries.filter(({ atMs }) => atMs > this._nowMs);
      for (const { deliver } of due) {
        deliver();
      }
    }
  }
}

/** Number of events of a Poisson process with an expected number. */
function poisson(expected: number, random: () => number): number {
  const limit = Math.exp(-expected);
  let count = -1;
  for (let product = 1; product > limit; product *= random()) {
    count += 1;
  }
  return count;
}
