import type { Clock } from '../Clock.js';
import type { PlacementLeader } from '../placement/PlacementLeader.js';
import type { ReplicaHoldings } from '../replicas/ReplicaDirectory.js';
import { HoldingsGatherer } from './HoldingsGatherer.js';
import { LoadPacer } from './LoadPacer.js';
import { messagePaces } from './messagePaces.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerHub } from './PeerHub.js';
import { StatusPacer } from './StatusPacer.js';
import type { DaemonReport, KnownTables, LeaderStatus } from './Types.js';
import { WaitingPeers } from './WaitingPeers.js';

/** What the placement leader tells the daemons that follow it. */
export class LeaderMessages implements AsyncDisposable {
  private readonly _statusPacer = new StatusPacer();
  private readonly _loadPacer = new LoadPacer();
  private readonly _gatherer = new HoldingsGatherer();
  private readonly _waiting = new WaitingPeers<PeerChannel>();
  private _gatherTimer: NodeJS.Timeout | undefined;

  public constructor(
    private readonly _hub: PeerHub,
    private readonly _leader: PlacementLeader,
    private readonly _clock: Clock,
  ) {
    _leader.onHoldings((holdings) => {
      this._tellHoldings(holdings);
    });
    _leader.onPlanned(() => {
      this._waiting.tell(_leader.estimates(), this._nowMs());
    });
    _hub.onJoined((channel) => {
      const replicas = _leader.holdings();
      if (replicas.length > 0) {
        channel.send('holdings', { replicas });
      }
    });
    _hub.onLeft((channel) => {
      this._waiting.remove(channel);
    });
  }

  /** Number of daemons, this one included. */
  public get daemonCount(): number {
    return this._hub.peerCount + 1;
  }

  /** Takes over a peer's report. */
  public applyReport(channel: PeerChannel, report: DaemonReport): void {
    this._waiting.applyReport(channel, report);
    this._leader.applyReport(report);
  }

  /**
   * Sends the status and the loads if they are due. `running` counts the requests that all daemons run, by replica id.
   * Called several times a second; returns the present status.
   */
  public tell(tellsChanges: boolean, ends: KnownTables, running: ReadonlyMap<string, number>): LeaderStatus {
    const nowMs = this._nowMs();
    const { daemonCount } = this;
    const status = { leads: this._leader.isLeading, tellsChanges, daemonCount, ends };
    const paces = messagePaces(daemonCount);
    const message = this._statusPacer.next(status, paces.heartbeatMs, nowMs);
    if (message !== undefined) {
      this._hub.broadcast('status', message);
    }
    if (status.leads) {
      const loads = this._loadPacer.next(running, paces.loadsMs, nowMs);
      if (loads !== undefined) {
        this._hub.broadcast('loads', loads);
      }
    }
    return status;
  }

  public [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this._gatherTimer);
    return Promise.resolve();
  }

  /** Tells peers whose requests wait for one of the models at once, and all of them soon. */
  private _tellHoldings(holdings: ReplicaHoldings): void {
    const models = new Set(holdings.models.map(({ name }) => name));
    for (const channel of this._waiting.waitingFor(models)) {
      channel.send('holdings', { replicas: [holdings] });
    }
    if (this._gatherer.add(holdings)) {
      this._gatherTimer = setTimeout(() => {
        this._hub.broadcast('holdings', { replicas: this._gatherer.take() });
      }, messagePaces(this.daemonCount).holdingsMs);
    }
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}
