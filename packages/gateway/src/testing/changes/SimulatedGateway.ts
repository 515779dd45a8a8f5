import * as common from '@jayhaven/common';
import type { Clock } from '../../Clock.js';
import { KnownLeader, type LeaderAnnouncement } from '../../leadership/KnownLeader.js';
import { LeaderAnnouncer } from '../../leadership/LeaderAnnouncer.js';
import { LeaderCoordinator } from '../../peers/LeaderCoordinator.js';
import { LeaderView } from '../../peers/LeaderView.js';
import { messageIntervals } from '../../peers/messageIntervals.js';
import type { PeerMessage } from '../../peers/PeerChannel.js';
import { PeerChoice } from '../../peers/PeerChoice.js';
import type { PeerMessages } from '../../peers/Types.js';
import { StatusThrottle } from '../../peers/StatusThrottle.js';
import { ReplicaDirectory } from '../../replicas/ReplicaDirectory.js';
import { StoreTables } from '../../replicas/StoreTables.js';
import { TableForwarder } from '../../replicas/TableForwarder.js';
import { RoutingTables } from '../../RoutingTables.js';
import { silentLogger } from '../SilentLogger.js';
import { SimulatedAnnouncementSender } from './SimulatedAnnouncementSender.js';
import type { LinkAcceptor, Network, SendingEnd, SimulatedLink } from './SimulatedLink.js';
import { type SimulatedStore, SimulatedStoreClient } from './SimulatedStore.js';

const livenessMs = 1_200;
/** A leader that is silent for this long counts as lost, milliseconds. */
const leaderSilenceMs = 1_200;
const reconnectMs = 300;
const leaderTickMs = 100;

/** Place of a gateway among the others. */
export interface GatewayPlace {
  /** Address for peers, which is also the name. */
  readonly address: string;
  readonly seeds: readonly string[];
  readonly daemonCount: number;
}

/** The tables of one gateway, which reads the simulated store and follows another gateway or is followed. */
export class SimulatedGateway implements AsyncDisposable, LinkAcceptor {
  public readonly store: SimulatedStoreClient;
  public readonly directory: ReplicaDirectory;
  public readonly routingTables: RoutingTables;
  private readonly _tables: StoreTables;
  private readonly _forwarder: TableForwarder;
  private readonly _knownLeader: KnownLeader;
  private readonly _announcer: LeaderAnnouncer;
  private readonly _choice: PeerChoice;
  private readonly _leaderView = new LeaderView();
  private readonly _statusThrottle = new StatusThrottle();
  private readonly _followers = new Set<SimulatedLink>();
  private readonly _onJoined = new common.Emitter<SendingEnd>();
  private readonly _onFollowerMessage = new common.Emitter<{ channel: SendingEnd; message: PeerMessage }>();
  private readonly _onLeaderMessage = new common.Emitter<PeerMessage>();
  private _leaderLink: SimulatedLink | undefined;
  private _lastMessageMs = Number.NEGATIVE_INFINITY;
  private _linkOpenedMs = Number.NEGATIVE_INFINITY;
  private _nextTickMs = Number.POSITIVE_INFINITY;
  private _isHolder = false;
  private _isStopped = false;

  public constructor(
    store: SimulatedStore,
    private readonly _network: Network,
    private readonly _place: GatewayPlace,
    private readonly _clock: Clock,
  ) {
    const { address, seeds } = _place;
    const otherSeeds = seeds.filter((seed) => seed !== address);
    this._choice = new PeerChoice(otherSeeds.flatMap((seed) => common.settings.parseAddress(seed) ?? []));
    this._knownLeader = new KnownLeader(address, silentLogger);
    this._announcer = new LeaderAnnouncer(
      this._knownLeader,
      otherSeeds,
      new SimulatedAnnouncementSender(_network),
      () => this._isHolder,
      silentLogger,
    );
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
    this._exchangeLeaders();
  }

  /** Begins to read and to follow; the periodic work begins after a delay, milliseconds. */
  public start(firstTickMs: number): void {
    this._network.listen(this._place.address, this);
    this._tables.start();
    this._nextTickMs = this._clock.now().steadyMs + firstTickMs;
  }

  /** Number of gateways that follow this one. */
  public get followerCount(): number {
    return this._followers.size;
  }

  /** Applies a record of the lease. */
  public learnLeader(leader: LeaderAnnouncement): void {
    this._isHolder = leader.holder === this._place.address;
    this._knownLeader.learnFromStore(leader);
  }

  /** Ends the term of this gateway, as its lease expires. */
  public loseLease(): void {
    this._isHolder = false;
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
    this._onJoined.fire(link.toFollower);
    link.onMessageToLeader(({ method, params }) => {
      this._onFollowerMessage.fire({ channel: link.toFollower, message: { method, params } as PeerMessage });
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
    this._network.listen(this._place.address, undefined);
    await this._announcer[Symbol.asyncDispose]();
    this._leaderLink?.close();
    for (const link of [...this._followers]) {
      link.close();
    }
    await this._tables[Symbol.asyncDispose]();
  }

  /** Stops all messages without an end of the connections, as a suspended VM does. */
  public suspend(): void {
    this._isStopped = true;
    this._network.listen(this._place.address, undefined);
    for (const link of this._followers) {
      link.isSilent = true;
    }
  }

  private _exchangeLeaders(): void {
    this._knownLeader.onChanged(({ peerAddress }) => {
      const { isSelf } = this._knownLeader;
      const leader = isSelf ? undefined : common.settings.parseAddress(peerAddress);
      if (this._choice.setLeader(leader, this._clock.now().steadyMs) || isSelf) {
        this._leaderLink?.close();
        this._linkOpenedMs = Number.NEGATIVE_INFINITY;
      }
    });
    const server = {
      ...this._server(),
      onJoined: this._onJoined.event,
      onMessage: this._onFollowerMessage.event,
    };
    new LeaderCoordinator(this._knownLeader, { server, client: { onMessage: this._onLeaderMessage.event } });
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
    const intervals = messageIntervals(this._place.daemonCount);
    this.directory.expire(nowMs);
    this._forwarder.updateReadTiming(nowMs);
    if (this._isHolder || this._followers.size > 0) {
      this._sendStatus(intervals.heartbeatMs, nowMs);
    }
    if (!this._isHolder) {
      this._maintainLink(nowMs);
    }
    this._nextTickMs = nowMs + (this._isHolder ? leaderTickMs : intervals.tickMs);
  }

  private _sendStatus(heartbeatMs: number, nowMs: number): void {
    const status = {
      leads: this._isHolder,
      tellsChanges: this._tables.isCurrent(nowMs),
      daemonCount: this._place.daemonCount,
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
    } else if (this._choice.isSubstituteExpired(nowMs)) {
      this._leaderLink?.close();
    }
    if (this._leaderLink === undefined && nowMs - this._linkOpenedMs >= reconnectMs) {
      this._linkOpenedMs = nowMs;
      this._openLink(nowMs);
    }
  }

  private _openLink(nowMs: number): void {
    const address = this._choice.next(nowMs);
    const link = address && this._network.connect(`${address.host}:${address.port}`);
    if (link === undefined) {
      return;
    }
    this._leaderLink = link;
    link.onClosed(() => {
      this._leaderLink = this._leaderLink === link ? undefined : this._leaderLink;
    });
    link.onMessageToFollower(({ method, params }) => {
      this._lastMessageMs = this._clock.now().steadyMs;
      const message = { method, params } as PeerMessage;
      this._choice.recordMessage(message.method === 'status' && message.params.leads, this._lastMessageMs);
      this._receiveFromLeader(method, params);
      this._onLeaderMessage.fire(message);
    });
    this._tables.followPeer(link.toLeader);
  }

  private _receiveFromLeader(method: keyof PeerMessages, params: unknown): void {
    if (method === 'table') {
      this._tables.applyFromFollowedPeer(params as PeerMessages['table']);
    } else if (method === 'status') {
      const status = params as PeerMessages['status'];
      this._leaderView.applyStatus(status, this._clock.now().steadyMs);
      if (status.tellsChanges) {
        this._tables.advance(status.ends);
      }
    }
  }
}
