import type { Clock } from '../Clock.js';
import type { PlacementLeader } from '../placement/PlacementLeader.js';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import { HoldingsBuffer } from './HoldingsBuffer.js';
import { LoadThrottle } from './LoadThrottle.js';
import { messageIntervals } from './messageIntervals.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerServer } from './PeerServer.js';
import { StatusThrottle } from './StatusThrottle.js';
import type { DaemonReport, TableOffsets, LeaderStatus } from './Types.js';
import { WaitingPeers } from './WaitingPeers.js';

/** Sends the placement leader's messages to the daemons that follow it. */
export class LeaderMessages implements AsyncDisposable {
  private readonly _statusThrottle = new StatusThrottle();
  private readonly _loadThrottle = new LoadThrottle();
  private readonly _holdingsBuffer = new HoldingsBuffer();
  private readonly _waitingPeers = new WaitingPeers<PeerChannel>();
  private _holdingsTimer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly _peerServer: PeerServer,
    private readonly _leader: PlacementLeader,
    private readonly _clock: Clock,
  ) {
    _leader.onHoldings((holdings) => {
      this._sendHoldings(holdings);
    });
    _leader.onPlanned(() => {
      this._waitingPeers.sendEstimates(_leader.estimates(), this._nowMs());
    });
    _peerServer.onJoined((channel) => {
      const replicas = _leader.holdings();
      if (replicas.length > 0) {
        channel.send('holdings', { replicas });
      }
      if (_leader.isLeading) {
        channel.send('loads', this._loadThrottle.sent);
      }
    });
    _peerServer.onLeft((channel) => {
      this._waitingPeers.remove(channel);
    });
  }

  /** Number of daemons, this one included. */
  public get daemonCount(): number {
    return this._peerServer.peerCount + 1;
  }

  /** Applies a peer's report. */
  public applyReport(channel: PeerChannel, report: DaemonReport): void {
    this._waitingPeers.applyReport(channel, report);
    this._leader.applyReport(report);
  }

  /**
   * Sends the status and the loads if they are due. `running` counts the running requests of all daemons by replica id.
   * Called several times a second; returns the current status.
   */
  public sendIfDue(
    forwardsChanges: boolean,
    endOffsets: TableOffsets,
    running: ReadonlyMap<string, number>,
  ): LeaderStatus {
    const nowMs = this._nowMs();
    const { daemonCount } = this;
    const status = { leads: this._leader.isLeading, tellsChanges: forwardsChanges, daemonCount, ends: endOffsets };
    const intervals = messageIntervals(daemonCount);
    const message = this._statusThrottle.next(status, intervals.heartbeatMs, nowMs);
    if (message !== undefined) {
      this._peerServer.broadcast('status', message);
    }
    if (status.leads) {
      const loads = this._loadThrottle.next(running, intervals.loadsMs, nowMs);
      if (loads !== undefined) {
        this._peerServer.broadcast('loads', loads);
      }
    } else {
      this._loadThrottle.reset();
    }
    return status;
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this._holdingsTimer);
    return Promise.resolve();
  }

  /** Sends a replica's models at once to peers whose requests wait for one of them, and soon to all peers. */
  private _sendHoldings(holdings: ReplicaHoldings): void {
    const models = new Set(holdings.models.map(({ name }) => name));
    for (const channel of this._waitingPeers.waitingFor(models)) {
      channel.send('holdings', { replicas: [holdings] });
    }
    if (this._holdingsBuffer.add(holdings)) {
      this._holdingsTimer = setTimeout(() => {
        this._peerServer.broadcast('holdings', { replicas: this._holdingsBuffer.take() });
      }, messageIntervals(this.daemonCount).holdingsMs);
    }
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
