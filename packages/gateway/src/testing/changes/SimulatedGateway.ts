import type { Clock } from '../../Clock.js';
import { LeaderView } from '../../peers/LeaderView.js';
import { messageIntervals } from '../../peers/messageIntervals.js';
import type { PeerMessages } from '../../peers/Types.js';
import { StatusThrottle } from '../../peers/StatusThrottle.js';
import { ReplicaDirectory } from '../../replicas/ReplicaDirectory.js';
import { StoreTables } from '../../replicas/StoreTables.js';
import { TableForwarder } from '../../replicas/TableForwarder.js';
import { RoutingTables } from '../../RoutingTables.js';
import { silentLogger } from '../SilentLogger.js';
import { type Network, SimulatedLink } from './SimulatedLink.js';
import { type SimulatedStore, SimulatedStoreClient } from './SimulatedStore.js';

const livenessMs = 1_200;
/** A leader that is silent for this long counts as lost, milliseconds. */
const leaderSilenceMs = 1_200;
const reconnectMs = 300;
const leaderTickMs = 100;

/** The tables of one gateway, which reads the simulated store and follows another gateway or is followed. */
export class SimulatedGateway implements AsyncDisposable {
  public readonly store: SimulatedStoreClient;
  public readonly directory: ReplicaDirectory;
  public readonly routingTables: RoutingTables;
  private readonly _tables: StoreTables;
  private readonly _forwarder: TableForwarder;
  private readonly _leaderView = new LeaderView();
  private readonly _statusThrottle = new StatusThrottle();
  private readonly _followers = new Set<SimulatedLink>();
  private _leaderLink: SimulatedLink | undefined;
  private _lastMessageMs = Number.NEGATIVE_INFINITY;
  private _linkOpenedMs = Number.NEGATIVE_INFINITY;
  private _nextTickMs = Number.POSITIVE_INFINITY;
  private _isStopped = false;

  public constructor(
    store: SimulatedStore,
    private readonly _network: Network,
    private readonly _daemonCount: number,
    private readonly _clock: Clock,
    /** The gateway to follow; undefined for the leader. */
    private readonly _findLeader?: () => SimulatedGateway | undefined,
  ) {
    this.store = new SimulatedStoreClient(store);
    this.directory = new ReplicaDirectory((id, text) => this.store.decodeReplica(id, text), silentLogger);
    this.routingTables = new RoutingTables(this.store, this.directory, silentLogger);
    this._tables = new StoreTables(this.store, () => 0, livenessMs, _clock, silentLogger);
    this._forwarder = new TableForwarder(
      {
        tables: this._tables,
        routingTables: this.routingTables,
        directory: this.directory,
        server: this._server(),
        client: this._client(),
        leaderView: this._leaderView,
        livenessMs,
      },
      _clock,
      silentLogger,
    );
  }

  /** Begins to read and to follow; the periodic work begins after a delay, milliseconds. */
  public start(firstTickMs: number): void {
    this._tables.start();
    this._nextTickMs = this._clock.now().steadyMs + firstTickMs;
  }

  /** Does the periodic work if it is due. */
  public tickIfDue(nowMs: number): void {
    if (!this._isStopped && nowMs >= this._nextTickMs) {
      this._tick(nowMs);
    }
  }

  /** Accepts a gateway that follows this one. */
  public accept(link: SimulatedLink): void {
    this._followers.add(link);
    link.onClosed(() => this._followers.delete(link));
    link.onMessageToLeader(({ method, params }) => {
      if (method === 'known') {
        this._tables.sendMissingRecords(link.toFollower, params as PeerMessages['known']);
      } else if (method === 'table') {
        this._tables.applyFromFollower(params as PeerMessages['table']);
      } else if (method === 'storeRead') {
        this._tables.recordPeerRead();
      }
    });
  }

  /** True if requests go to the replica. */
  public uses(replicaId: string): boolean {
    return this.directory.get(replicaId)?.state === 'ready';
  }

  /** Closes all connections as a process that ends does. */
  public async [Symbol.asyncDispose](): Promise<void> {
    this._isStopped = true;
    this._leaderLink?.close();
    for (const link of [...this._followers]) {
      link.close();
    }
    await this._tables[Symbol.asyncDispose]();
  }

  /** Stops all messages without an end of the connections, as a suspended VM does. */
  public suspend(): void {
    this._isStopped = true;
    for (const link of this._followers) {
      link.isSilent = true;
    }
  }

  private _server(): TableForwarder['_context']['server'] {
    const followers = this._followers;
    return {
      get peerCount(): number {
        return followers.size;
      },
      broadcast: (method, params) => {
        for (const link of followers) {
          link.toFollower.send(method, params);
        }
      },
    };
  }

  private _client(): TableForwarder['_context']['client'] {
    return {
      isAlive: (nowMs) => this._leaderLink !== undefined && nowMs - this._lastMessageMs < leaderSilenceMs,
      send: (method, params) => {
        this._leaderLink?.toLeader.send(method, params);
      },
    };
  }

  private _tick(nowMs: number): void {
    const intervals = messageIntervals(this._daemonCount);
    this.directory.expire(nowMs);
    this._forwarder.updateReadTiming(nowMs);
    if (this._findLeader === undefined) {
      this._sendStatus(intervals.heartbeatMs, nowMs);
    } else {
      this._maintainLink(nowMs);
    }
    this._nextTickMs = nowMs + (this._findLeader === undefined ? leaderTickMs : intervals.tickMs);
  }

  private _sendStatus(heartbeatMs: number, nowMs: number): void {
    const status = {
      leads: true,
      tellsChanges: this._tables.isCurrent(nowMs),
      daemonCount: this._daemonCount,
      ends: this._tables.endOffsets(),
    };
    const message = this._statusThrottle.next(status, heartbeatMs, nowMs);
    if (message !== undefined) {
      for (const link of this._followers) {
        link.toFollower.send('status', message);
      }
    }
  }

  private _maintainLink(nowMs: number): void {
    if (this._leaderLink !== undefined && nowMs - Math.max(this._lastMessageMs, this._linkOpenedMs) > leaderSilenceMs) {
      this._leaderLink.close();
    }
    const leader = this._findLeader?.();
    if (this._leaderLink !== undefined || leader === undefined || nowMs - this._linkOpenedMs < reconnectMs) {
      return;
    }
    const link = new SimulatedLink(this._network);
    this._leaderLink = link;
    this._linkOpenedMs = nowMs;
    link.onClosed(() => {
      this._leaderLink = undefined;
    });
    link.onMessageToFollower(({ method, params }) => {
      this._lastMessageMs = this._clock.now().steadyMs;
      this._receiveFromLeader(method, params);
    });
    leader.accept(link);
    this._tables.followPeer(link.toLeader);
  }

  private _receiveFromLeader(method: keyof PeerMessages, params: unknown): void {
    if (method === 'table') {
      this._tables.applyFromFollowedPeer(params as PeerMessages['table']);
    } else if (method === 'status') {
      const status = params as PeerMessages['status'];
      this._leaderView.applyStatus(status);
      if (status.tellsChanges) {
        this._tables.advance(status.ends);
      }
    }
  }
}
