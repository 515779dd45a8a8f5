import * as common from '@jayhaven/common';
import type { Clock } from './Clock.js';
import { RouteTable } from './configuration/RouteTable.js';
import { CallerServer } from './forwarding/CallerServer.js';
import { ReplicaAgent } from './forwarding/ReplicaAgent.js';
import { RequestLog } from './forwarding/RequestLog.js';
import type { ExchangeContext } from './forwarding/Types.js';
import { takeoverReluctanceMs } from './leadership/Lease.js';
import { PeerAssistedLeaseStore } from './leadership/LeaseStore.js';
import { LeaseKeeper } from './leadership/LeaseKeeper.js';
import type { GatewayPlatform, GatewaySettings } from './GatewayTypes.js';
import { pause } from './pause.js';
import type { PeerMessage } from './peers/PeerChannel.js';
import { PeerHub, type PeerNews } from './peers/PeerHub.js';
import { PeerLink } from './peers/PeerLink.js';
import { LeaderMessages } from './peers/LeaderMessages.js';
import { LeaderView } from './peers/LeaderView.js';
import { messagePaces } from './peers/messagePaces.js';
import { Reporter } from './peers/Reporter.js';
import type { DaemonReport, LeaderStatus, LeavingMessage, TableMessage } from './peers/Types.js';
import { ArrivalCounter } from './placement/ArrivalCounter.js';
import { PlacementLeader } from './placement/PlacementLeader.js';
import { removalGraceMs } from './replicas/removalGrace.js';
import { ReplicaDirectory } from './replicas/ReplicaDirectory.js';
import { StoreTables } from './replicas/StoreTables.js';
import { readPace, type TableNews } from './replicas/TableFollower.js';
import { RetryBudgets } from './retries/RetryBudgets.js';
import { spreadSlots } from './routing/chooseReplica.js';
import { ReplicaLoads } from './routing/ReplicaLoads.js';
import { StopSchedule } from './StopSchedule.js';
import type { Address } from './Types.js';
import { WaitingRequests } from './waiting/WaitingRequests.js';

/** Time between two steps of the periodic work of a daemon that leads, milliseconds. */
const leaderTickMs = 100;
/** Interval at which a stopping daemon looks whether its requests have ended. */
const stopCheckMs = 50;

/** One gateway daemon: serves callers, follows the store, and leads placement while it holds the lease. */
export class Gateway implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _directory: ReplicaDirectory;
  private readonly _tables: StoreTables;
  private readonly _lease: LeaseKeeper;
  private readonly _leaseStore: PeerAssistedLeaseStore;
  private readonly _hub: PeerHub;
  private readonly _link: PeerLink;
  private readonly _leader: PlacementLeader;
  private readonly _leaderMessages: LeaderMessages;
  private readonly _leaderView = new LeaderView();
  private readonly _reporter: Reporter;
  private readonly _loads = new ReplicaLoads();
  private readonly _waitingRoom = new WaitingRequests();
  private readonly _arrivals = new ArrivalCounter();
  private readonly _budgets: RetryBudgets;
  private readonly _requestLog: RequestLog;
  private readonly _agent = new ReplicaAgent();
  private readonly _callers: CallerServer;
  private _routes: RouteTable | undefined;
  private _tickTimer: NodeJS.Timeout | undefined;
  private readonly _stop: StopSchedule;

  public constructor(
    private readonly _settings: GatewaySettings,
    private readonly _platform: GatewayPlatform,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    const { store, engines } = _platform;
    this._directory = new ReplicaDirectory((id, text) => store.decodeReplica(id, text), _log.child('replicas'));
    this._budgets = new RetryBudgets(_settings.retryBudget);
    this._stop = new StopSchedule(_settings.stopLimitMs);
    this._requestLog = new RequestLog(_log.child('requests'));
    this._hub = new PeerHub(_settings.peers, _clock, _log.child('peers'));
    this._link = new PeerLink(otherSeeds(_settings), _clock, _log.child('peers'));
    this._tables = new StoreTables(store, _clock, _log.child('store'));
    const self = {
      holder: _settings.name,
      peerAddress: `${_settings.peers.host}:${_settings.peers.port}`,
    };
    const heard = (): boolean => this._leaderIsHeard();
    this._leaseStore = new PeerAssistedLeaseStore(store, (call) => this._hub.sendToOne('leaseCall', call), _clock);
    this._lease = new LeaseKeeper(
      this._leaseStore,
      self,
      _settings.lease,
      takeoverReluctanceMs(_settings.processorShare),
      _clock,
      heard,
      _log.child('lease'),
    );
    this._leader = new PlacementLeader(
      _settings.name,
      () => this._routes?.configuration,
      this._directory,
      engines,
      (now) => this._lease.orderToken(now),
      _clock,
      _log.child('placement'),
    );
    this._leaderMessages = new LeaderMessages(this._hub, this._leader, _clock);
    this._reporter = new Reporter(
      _settings.name,
      { waitingRoom: this._waitingRoom, arrivals: this._arrivals, loads: this._loads },
      (report) => {
        this._deliverReport(report);
      },
      () => this._leaderView.daemonCount,
      _clock,
    );
    this._callers = new CallerServer(this._exchangeContext(), _settings.callers, _log.child('callers'));
    this._connectParts();
  }

  /** Starts serving. */
  public async open(): Promise<void> {
    for (const part of [this._hub, this._link, this._lease, this._leaderMessages, this._reporter, this._tables]) {
      this._resources.register(part);
    }
    this._resources.register(this._platform.store);
    this._resources.register(this._platform.engines);
    await this._hub.open();
    this._tables.start();
    this._lease.start();
    this._tickLater();
    this._resources.register(() => {
      clearTimeout(this._tickTimer);
    });
    await this._callers.open();
  }

  /** True if new callers should come here. */
  public get isReady(): boolean {
    return !this._stop.isStopping && this._routes !== undefined && this._directory.size > 0;
  }

  /** Metrics in the text format of Prometheus. */
  public metrics(): Promise<string> {
    return this._requestLog.registry.metrics();
  }

  /** Stops without cutting requests: waits until the balancer has noticed and the requests have ended. */
  public async stop(): Promise<{ readonly unfinished: number }> {
    this._stop.start(this._nowMs());
    this._log.info('Stops.', { requests: this._callers.activeCount });
    await this._requestsEnded();
    this._stop.end();
    this._callers.stopAccepting();
    await this._requestsEnded();
    // Until now the leader went on, because it may be back on this VM before another one could give orders.
    await this._lease.release();
    return { unfinished: this._callers.activeCount };
  }

  private async _requestsEnded(): Promise<void> {
    while (this._stop.goesOn(this._callers.activeCount, this._nowMs())) {
      await pause(stopCheckMs);
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this._callers.close();
    this._agent.destroy();
    await this._resources[Symbol.asyncDispose]();
  }

  /** Sets how often this daemon reads the store, by what the others do. */
  private _setReadPaces(nowMs: number): void {
    const isHeard = this._link.isHeard(nowMs) && this._leaderView.tellsChanges !== undefined;
    const heard = this._leaderView.tellsChanges === true ? 'current' : 'cutOff';
    const pace = readPace({
      leader: isHeard ? heard : 'unheard',
      hasFollowers: this._hub.peerCount > 0,
      paces: messagePaces(this._leaderView.daemonCount),
    });
    this._tables.setPace(pace);
  }

  private _connectParts(): void {
    this._tables.onNews((news) => {
      this._applyNews(news);
    });
    this._directory.onChanged(() => {
      this._waitingRoom.tryAll();
    });
    this._lease.onLeader(({ holder, peerAddress }) => {
      const isSelf = holder === this._settings.name;
      if (isSelf) {
        this._tables.readReplicasWhole();
      }
      this._link.follow(isSelf ? undefined : common.settings.parseAddress(peerAddress));
    });
    this._leader.onPlanned(() => {
      this._leaderView.applyEstimates(this._leader.estimates(), this._nowMs());
    });
    this._leader.onHoldings((holdings) => {
      this._directory.applyHoldings(holdings);
    });
    this._hub.onMessage((news) => {
      this._receiveAsHub(news);
    });
    this._hub.onJoined((channel) => {
      for (const [replicaId, bornMs] of this._directory.leaving()) {
        channel.send('leaving', { replicaId, bornMs });
      }
    });
    this._link.onMessage((message) => {
      this._receive(message);
    });
    this._link.onConnected((channel) => {
      this._tables.followPeer(channel);
    });
  }

  private _receive(message: PeerMessage): void {
    if (message.method === 'table') {
      this._tables.catchUp(message.params);
    } else if (message.method === 'holdings') {
      for (const holdings of message.params.replicas) {
        this._directory.applyHoldings(holdings);
      }
    } else if (message.method === 'status') {
      this._applyStatus(message.params);
    } else if (message.method === 'loads') {
      this._applyLoads(new Map(Object.entries(message.params.running)));
    } else if (message.method === 'estimates') {
      this._leaderView.applyEstimates(message.params.estimates, this._nowMs());
    } else if (message.method === 'leaving') {
      this._markLeaving(message.params);
    } else if (message.method === 'leaseCall') {
      void this._leaseStore.serve(message.params).then((reply) => {
        this._link.send('leaseReply', reply);
      });
    }
  }

  private _receiveAsHub({ channel, message }: PeerNews): void {
    if (message.method === 'report') {
      this._leaderMessages.applyReport(channel, message.params);
    } else if (message.method === 'known') {
      this._tables.tellUnknown(channel, message.params);
    } else if (message.method === 'table') {
      this._tables.accept(message.params);
    } else if (message.method === 'leaving') {
      this._markLeaving(message.params);
    } else if (message.method === 'leaseReply') {
      this._leaseStore.accept(message.params);
    }
  }

  /** Takes a replica out of use that has said that it leaves, and passes the word on. */
  private _markLeaving(message: LeavingMessage): void {
    if (this._directory.markLeaving(message.replicaId, message.bornMs)) {
      this._hub.broadcast('leaving', message);
      this._link.send('leaving', message);
    }
  }

  private _applyNews({ table, records, source }: TableNews): void {
    const nowMs = this._nowMs();
    let forPeers = records;
    if (table === 'configuration') {
      for (const record of records) {
        this._applyConfiguration(record.value, record.offset, source);
      }
    } else {
      forPeers = this._directory.apply(records, nowMs, removalGraceMs(this._tables.lastReplicaFailureMs, nowMs));
    }
    if (forPeers.length > 0) {
      this._passOn({ table, records: forPeers, end: 0, whole: false }, source);
    }
  }

  /**
   * Passes news on to the daemons that follow this one, whoever told them, and news of the store to a leader that does
   * not reach the store.
   */
  private _passOn(message: TableMessage, source: TableNews['source']): void {
    this._hub.broadcast('table', message);
    if (source === 'store' && this._leaderView.tellsChanges === false) {
      this._link.send('table', message);
    }
  }

  private _applyConfiguration(text: string | undefined, offset: number, source: string): void {
    const configuration = text === undefined ? undefined : this._platform.store.decodeConfiguration(text);
    const before = this._routes?.configuration.version;
    if (configuration === undefined) {
      this._log.error('The configuration record is unreadable; the version before stays in force.', { offset, before });
    } else if (before === undefined || configuration.version > before) {
      this._routes = new RouteTable(configuration);
      this._callers.applyLimits(configuration.callerLimits);
      this._log.info('Configuration in force.', { version: configuration.version, before, offset, source });
    }
  }

  /** Does the periodic work, reports, placement and silent peers, and does it again later. */
  private _tickLater(): void {
    const { tickMs } = messagePaces(this._leaderView.daemonCount);
    this._tickTimer = setTimeout(
      () => {
        this._tick();
        this._tickLater();
      },
      this._lease.isHolder ? leaderTickMs : tickMs,
    );
  }

  private _tick(): void {
    const nowMs = this._nowMs();
    this._directory.dropExpired(nowMs);
    this._hub.dropSilent(nowMs);
    this._link.keepUp(nowMs, !this._lease.isHolder);
    this._setReadPaces(nowMs);
    this._leader.tick();
    if (this._lease.isHolder || this._hub.peerCount > 0) {
      this._tellStatus(nowMs);
    }
    this._reporter.reportIfDue();
    this._loads.retain((id) => this._directory.get(id) !== undefined, nowMs);
  }

  private _tellStatus(nowMs: number): void {
    const running = this._leader.runningTotals();
    const status = this._leaderMessages.tell(this._tables.isCurrent(nowMs), this._tables.ends(), running);
    if (status.leads) {
      this._applyStatus(status);
      this._applyLoads(running);
    }
  }

  private _applyStatus(status: LeaderStatus): void {
    this._leaderView.applyStatus(status);
    if (status.leads) {
      const nowMs = this._nowMs();
      this._loads.recordLeaderMessage(nowMs);
      this._budgets.setDaemonCount(status.daemonCount, nowMs);
    }
    if (status.tellsChanges) {
      this._tables.advance(status.ends);
    }
  }

  private _applyLoads(running: ReadonlyMap<string, number>): void {
    const nowMs = this._nowMs();
    for (const [replicaId, total] of running) {
      this._loads.recordLeaderTotal(replicaId, total);
    }
    this._loads.recordLeaderUpdate(nowMs);
  }

  private _deliverReport(report: DaemonReport): void {
    if (this._lease.isHolder) {
      this._leader.applyReport(report);
    } else {
      this._link.send('report', report);
    }
  }

  private _exchangeContext(): ExchangeContext {
    return {
      codec: this._platform.codec,
      clock: this._clock,
      log: this._log,
      requestLog: this._requestLog,
      failureDomain: this._settings.failureDomain,
      directory: this._directory,
      loads: this._loads,
      waitingRoom: this._waitingRoom,
      budgets: this._budgets,
      agent: this._agent,
      routes: () => this._routes,
      readyInMs: (model) => this._readyInMs(model),
      randomSlots: () => Math.random() * spreadSlots(this._leaderView.daemonCount),
      replicaLeaves: ({ id, bornMs }) => {
        this._markLeaving({ replicaId: id, bornMs });
      },
      recordArrival: (target, route) => {
        this._arrivals.record(target, route.latencyTargetMs);
      },
      waitingChanged: () => {
        this._reporter.reportSoon();
      },
      isStopping: () => this._stop.isStopping,
      longestRequestMs: (nowMs) => this._stop.longestRequestMs(nowMs),
    };
  }

  private _readyInMs(model: string): number | undefined {
    return this._leaderIsHeard() ? this._leaderView.readyInMs(model, this._nowMs()) : undefined;
  }

  private _leaderIsHeard(): boolean {
    return this._lease.isHolder || (this._leaderView.leads && this._link.isHeard(this._nowMs()));
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}

function otherSeeds(settings: GatewaySettings): readonly Address[] {
  return settings.seeds.filter((seed) => seed.host !== settings.peers.host);
}
