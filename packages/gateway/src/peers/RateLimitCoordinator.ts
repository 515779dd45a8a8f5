import type { Clock } from '../Clock.js';
import { pause } from '../pause.js';
import type { PlacedRateLimit } from '../placement/Types.js';
import { PermitAllocator } from '../rateLimits/PermitAllocator.js';
import type { LeaderPermits } from '../rateLimits/RateLimitedEngineClient.js';
import type { ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import type { PermitMessage, RateLimitStatement } from '../rateLimits/Types.js';
import type { Instant } from '../Types.js';
import type { WaitingRequests } from '../waiting/WaitingRequests.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerClient } from './PeerClient.js';
import type { PeerServer, ReceivedMessage } from './PeerServer.js';
import type { DaemonReport } from './Types.js';

/** Interval at which a request of the leader itself checks for a permit, milliseconds. */
const acquirePollMs = 50;
/** Longest time that a request of the leader itself waits for a permit, milliseconds. */
const acquireTimeoutMs = 5_000;

/**
 * Exchanges rate limits and permits with the peers. Daemons pass on what replicas state to the leader, which puts limits
 * in force for all daemons and grants the permits for requests to the limited replicas.
 */
export class RateLimitCoordinator implements LeaderPermits {
  private readonly _allocator: PermitAllocator;
  /** Channels of the daemons that have reported, by name. */
  private readonly _channels = new Map<string, PeerChannel>();
  private _term: number | undefined;

  public constructor(
    private readonly _self: string,
    private readonly _rateLimits: ReplicaRateLimits,
    private readonly _waitingRequests: WaitingRequests,
    { server, client }: { readonly server: PeerServer; readonly client: PeerClient },
    /** Fencing token; undefined while this daemon may not act as the leader. */
    private readonly _leaderToken: (now: Instant) => number | undefined,
    private readonly _clock: Clock,
  ) {
    this._allocator = new PermitAllocator((replicaId) => _rateLimits.perSecond(replicaId));
    _rateLimits.onStatement((statement) => {
      client.send('rateLimits', { limits: [statement] });
    });
    _rateLimits.onChanged((statement) => {
      server.broadcast('rateLimits', { limits: [statement] });
    });
    client.onConnected((channel) => {
      this._sendLimits(channel);
    });
    server.onJoined((channel) => {
      this._sendLimits(channel);
    });
    server.onLeft((channel) => {
      this._removeChannel(channel);
    });
    server.onMessage((received) => {
      this._receiveFromFollower(received);
    });
    client.onMessage((message) => {
      if (message.method === 'permits') {
        this._applyPermits(message.params);
      } else if (message.method === 'rateLimits') {
        this._applyLimits(message.params.limits);
      }
    });
  }

  /** Applies the permit demands of a daemon, this one included, if this daemon leads. */
  public applyReport(report: DaemonReport): void {
    const now = this._clock.now();
    if (this._isLeading(now) && report.permits !== undefined) {
      const answer = this._allocator.applyReport(report.daemon, report.permits, now.steadyMs);
      if (answer !== undefined) {
        this._send(report.daemon, answer);
      }
    }
  }

  /** Grants the permits that have accrued. Called several times per second. */
  public tick(): void {
    const now = this._clock.now();
    if (this._isLeading(now)) {
      for (const [daemon, message] of this._allocator.allocate(now.steadyMs)) {
        this._send(daemon, message);
      }
    }
  }

  public perSecond(replicaId: string): number | undefined {
    return this._rateLimits.perSecond(replicaId);
  }

  /** Rate limit of a replica with the wait for its permits; undefined if it has no limit. */
  public placedLimit(replicaId: string): PlacedRateLimit | undefined {
    const perSecond = this.perSecond(replicaId);
    return perSecond === undefined ? undefined : { perSecond, backlogMs: this._allocator.backlogMs(replicaId) };
  }

  public async acquire(replicaId: string): Promise<boolean> {
    if (this.perSecond(replicaId) === undefined) {
      return true;
    }
    const startedMs = this._clock.now().steadyMs;
    const release = this._allocator.reserve(replicaId, startedMs);
    const untilMs = startedMs + acquireTimeoutMs;
    try {
      for (let now = this._clock.now(); this._isLeading(now) && now.steadyMs < untilMs; now = this._clock.now()) {
        if (this._allocator.tryTake(replicaId, now.steadyMs)) {
          return true;
        }
        await pause(acquirePollMs);
      }
      return false;
    } finally {
      release();
    }
  }

  private _isLeading(now: Instant): boolean {
    const term = this._leaderToken(now);
    if (term !== this._term) {
      this._term = term;
      this._allocator.reset();
    }
    return term !== undefined;
  }

  private _receiveFromFollower({ channel, message }: ReceivedMessage): void {
    if (message.method === 'report') {
      this._channels.set(message.params.daemon, channel);
      this.applyReport(message.params);
    } else if (message.method === 'rateLimits') {
      const { steadyMs } = this._clock.now();
      for (const statement of message.params.limits) {
        this._rateLimits.recordStatement(statement, steadyMs);
      }
    }
  }

  private _send(daemon: string, message: PermitMessage): void {
    if (daemon === this._self) {
      this._applyPermits(message);
    } else {
      this._channels.get(daemon)?.send('permits', message);
    }
  }

  private _applyPermits(message: PermitMessage): void {
    const now = this._clock.now();
    this._rateLimits.applyPermits(message, now);
    this._waitingRequests.redispatchFor(new Set(message.replicas.map(({ replicaId }) => replicaId)), now.steadyMs);
  }

  private _applyLimits(limits: readonly RateLimitStatement[]): void {
    for (const statement of limits) {
      this._rateLimits.applyLimit(statement);
    }
  }

  private _sendLimits(channel: PeerChannel): void {
    const limits = this._rateLimits.limits();
    if (limits.length > 0) {
      channel.send('rateLimits', { limits });
    }
  }

  private _removeChannel(channel: PeerChannel): void {
    for (const [daemon, one] of this._channels) {
      if (one === channel) {
        this._channels.delete(daemon);
      }
    }
  }
}
