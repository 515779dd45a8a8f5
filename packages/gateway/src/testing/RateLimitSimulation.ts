import { PermitAllocator } from '../rateLimits/PermitAllocator.js';
import { type PermitSource, ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import { RateLimitMetrics } from '../rateLimits/RateLimitMetrics.js';
import type { PermitMessage } from '../rateLimits/Types.js';
import type { Instant } from '../Types.js';
import * as metrics from 'prom-client';
import { sampleReplica } from './sampleReplica.js';
import { silentLogger } from './SilentLogger.js';

const stepMs = 20;
const replica = sampleReplica();
/** Time without a message after which a daemon considers its leader lost, milliseconds. */
const leaderSilenceMs = 1_200;
/** Time from the loss of a leader until the next one may grant permits, milliseconds. */
const handoverMs = 3_300;
/** Time for which a request can wait for a permit; it is refused once its turn is expected later, milliseconds. */
const requestWaitMs = 2_000;
/** Time between two reports of a daemon without waiting requests, milliseconds. */
const idleReportMs = 1_000;
const urgency = 2;

/** Disturbances of a simulation, as probabilities per second. */
export interface SimulationFaults {
  readonly leaderLoss: number;
  /** A daemon is suspended for up to 3 s: its steady clock stops and its messages are delivered afterwards. */
  readonly suspension: number;
  /** A daemon is cut off from the leader for up to 4 s, but not from the replica. */
  readonly cut: number;
  /** A daemon restarts and knows neither the limit nor the leader. */
  readonly restart: number;
  /** A message takes up to 900 ms instead of up to 20 ms. */
  readonly delayedShare: number;
}

export interface SimulationOptions {
  readonly daemonCount: number;
  readonly limitPerSecond: number;
  /** Requests per second over all daemons. */
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  readonly faults: SimulationFaults;
  /** Random numbers from 0 to below 1. */
  readonly random: () => number;
}

interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

class SimulatedDaemon {
  public limits: ReplicaRateLimits;
  public steadyMs: number;
  public suspendedUntilMs = 0;
  public cutUntilMs = 0;
  public lastLeaderMessageMs = Number.NEGATIVE_INFINITY;
  public isLeader = false;
  /** Times at which the waiting requests arrived, true milliseconds. */
  public waitingSinceMs: number[] = [];
  public lastReportMs: number;
  /** True if the last report had demands. */
  public hasOpenDemands = false;

  public constructor(
    private readonly _options: SimulationOptions,
    public readonly name: string,
  ) {
    this.steadyMs = Math.floor(_options.random() * 1_000_000);
    this.lastReportMs = this.steadyMs;
    this.limits = this._createLimits();
  }

  public now(trueMs: number): Instant {
    return { steadyMs: this.steadyMs, wallMs: trueMs };
  }

  public restart(): void {
    this.limits = this._createLimits();
    this.lastLeaderMessageMs = Number.NEGATIVE_INFINITY;
    this.waitingSinceMs = [];
    this.isLeader = false;
  }

  private _createLimits(): ReplicaRateLimits {
    const context = {
      permitSource: (): PermitSource => this._permitSource(),
      daemonCount: (): number => this._options.daemonCount,
      random: this._options.random,
    };
    const limits = new ReplicaRateLimits(context, new RateLimitMetrics(new metrics.Registry()), silentLogger);
    limits.recordResponse(replica, this._options.limitPerSecond, this.steadyMs);
    return limits;
  }

  private _permitSource(): PermitSource {
    if (this.isLeader) {
      return 'self';
    }
    return this.steadyMs - this.lastLeaderMessageMs < leaderSilenceMs ? 'leader' : 'none';
  }
}

/** Daemons that share the rate limit of one replica over an unreliable network, in simulated time. */
export class RateLimitSimulation {
  /** Times at which requests arrived at the replica, true milliseconds. */
  public readonly arrivalsMs: number[] = [];
  private readonly _daemons: SimulatedDaemon[];
  private readonly _allocator: PermitAllocator;
  private _deliveries: Delivery[] = [];
  private _leader: SimulatedDaemon | undefined;
  private _nextLeaderMs = 0;
  private _nowMs = 0;

  public constructor(private readonly _options: SimulationOptions) {
    const indices = Array.from({ length: _options.daemonCount }, (_none, index) => index);
    this._daemons = indices.map((index) => new SimulatedDaemon(_options, `vm${index}`));
    this._allocator = new PermitAllocator(() => _options.limitPerSecond);
  }

  public run(): this {
    for (; this._nowMs < this._options.durationMs; this._nowMs += stepMs) {
      this._injectFaults();
      this._electLeader();
      this._deliverMessages();
      for (const daemon of this._daemons) {
        if (!this._isSuspended(daemon)) {
          daemon.steadyMs += stepMs;
          this._stepDaemon(daemon);
        }
      }
      this._stepLeader();
    }
    return this;
  }

  private _injectFaults(): void {
    const { faults, random } = this._options;
    const happens = (perSecond: number): boolean => random() < (perSecond * stepMs) / 1_000;
    if (this._leader !== undefined && happens(faults.leaderLoss)) {
      this._loseLeader();
    }
    for (const daemon of this._daemons) {
      if (happens(faults.suspension)) {
        daemon.suspendedUntilMs = this._nowMs + random() * 3_000;
      }
      if (happens(faults.cut)) {
        daemon.cutUntilMs = this._nowMs + random() * 4_000;
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
      this._leader.isLeader = false;
    }
    this._leader = undefined;
    this._nextLeaderMs = this._nowMs + handoverMs;
  }

  private _electLeader(): void {
    if (this._leader === undefined && this._nowMs >= this._nextLeaderMs) {
      this._leader = this._daemons.find((daemon) => !this._isSuspended(daemon));
      if (this._leader !== undefined) {
        this._leader.isLeader = true;
        this._allocator.reset();
      }
    }
    // The lease of a suspended leader lapses; its successor waits for the handover.
    if (this._leader !== undefined && this._isSuspended(this._leader)) {
      this._loseLeader();
    }
  }

  private _stepDaemon(daemon: SimulatedDaemon): void {
    const { requestsPerSecond, daemonCount, random } = this._options;
    daemon.limits.retain(() => replica.bornMs);
    if (random() < (requestsPerSecond * stepMs) / 1_000 / daemonCount) {
      daemon.waitingSinceMs.push(this._nowMs);
    }
    daemon.waitingSinceMs = daemon.waitingSinceMs.filter((sinceMs, position) => {
      const expectedMs = daemon.limits.expectedWaitMs(replica.id, urgency, position, daemon.now(this._nowMs)) ?? 0;
      return this._nowMs - sinceMs + expectedMs < requestWaitMs;
    });
    this._sendRequests(daemon);
    const hasChanges = daemon.waitingSinceMs.length > 0 || daemon.hasOpenDemands;
    const intervalMs = hasChanges ? Math.min(Math.max(daemonCount * 5, 100), 300) : idleReportMs;
    if (daemon.steadyMs - daemon.lastReportMs >= intervalMs) {
      daemon.lastReportMs = daemon.steadyMs;
      this._sendReport(daemon);
    }
  }

  private _sendRequests(daemon: SimulatedDaemon): void {
    const now = daemon.now(this._nowMs);
    while (daemon.waitingSinceMs.length > 0 && daemon.limits.maySend(replica.id, now)) {
      daemon.limits.recordSend(replica.id, now);
      daemon.waitingSinceMs.shift();
      this.arrivalsMs.push(this._nowMs + this._options.random() * 20);
    }
  }

  private _sendReport(daemon: SimulatedDaemon): void {
    const count = daemon.waitingSinceMs.length;
    const slackMs = (daemon.waitingSinceMs[0] ?? 0) + requestWaitMs - this._nowMs;
    const demands = count === 0 ? [] : [{ replicaId: replica.id, urgency, count, slackMs }];
    daemon.hasOpenDemands = count > 0;
    const report = daemon.limits.takeReport(demands, daemon.now(this._nowMs));
    const leader = this._leader;
    this._send(daemon, () => {
      if (leader !== undefined && leader === this._leader) {
        const answer = this._allocator.applyReport(daemon.name, report, this._nowMs);
        this._answer(answer === undefined ? new Map() : new Map([[daemon.name, answer]]));
      }
    });
  }

  private _stepLeader(): void {
    if (this._leader === undefined || this._nowMs % 100 !== 0) {
      return;
    }
    this._answer(this._allocator.allocate(this._nowMs));
    if (this._nowMs % 300 === 0) {
      for (const daemon of this._daemons) {
        this._send(daemon, () => {
          daemon.lastLeaderMessageMs = daemon.steadyMs;
        });
      }
    }
  }

  private _answer(messages: ReadonlyMap<string, PermitMessage>): void {
    for (const daemon of this._daemons) {
      const message = messages.get(daemon.name);
      if (message !== undefined) {
        this._send(daemon, () => {
          daemon.lastLeaderMessageMs = daemon.steadyMs;
          daemon.limits.applyPermits(message, daemon.now(this._nowMs));
          this._sendRequests(daemon);
        });
      }
    }
  }

  /** Sends a message between the leader and a daemon; it is lost while the daemon is cut off. */
  private _send(daemon: SimulatedDaemon, deliver: () => void): void {
    if (this._nowMs < daemon.cutUntilMs) {
      return;
    }
    const { random, faults } = this._options;
    const delayMs = random() * (random() < faults.delayedShare ? 900 : 20);
    const atMs = Math.max(this._nowMs + delayMs, this._isSuspended(daemon) ? daemon.suspendedUntilMs : 0);
    this._deliveries.push({ atMs, deliver });
  }

  private _deliverMessages(): void {
    const due = this._deliveries.filter(({ atMs }) => atMs <= this._nowMs);
    this._deliveries = this._deliveries.filter(({ atMs }) => atMs > this._nowMs);
    for (const { deliver } of due) {
      deliver();
    }
  }

  private _isSuspended(daemon: SimulatedDaemon): boolean {
    return this._nowMs < daemon.suspendedUntilMs;
  }
}
