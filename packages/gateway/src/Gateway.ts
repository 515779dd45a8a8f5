import * as common from '@jayhaven/common';
import type { Clock } from './Clock.js';
import { CrashGuard } from './crashes/CrashGuard.js';
import { CrashMetrics } from './crashes/CrashMetrics.js';
import { CrashObserver, type CrashObserverContext } from './crashes/CrashObserver.js';
import { hasEnded } from './crashes/hasEnded.js';
import { CallerServer } from './forwarding/CallerServer.js';
import { OpenRequests } from './forwarding/OpenRequests.js';
import { ReplicaAgent } from './forwarding/ReplicaAgent.js';
import { callerTimeoutMs } from './forwarding/retryPolicy.js';
import { RequestLog } from './forwarding/RequestLog.js';
import { StartWait } from './forwarding/StartWait.js';
import type { ExchangeContext } from './forwarding/Types.js';
import { takeoverBackoffMs } from './leadership/Lease.js';
import { KnownLeader } from './leadership/KnownLeader.js';
import { LeaderAnnouncer } from './leadership/LeaderAnnouncer.js';
import { PeerAssistedLeaseStore } from './leadership/LeaseStore.js';
import { LeaderElector } from './leadership/LeaderElector.js';
import { GracefulStop } from './GracefulStop.js';
import type { GatewayPlatform, GatewaySettings } from './GatewayTypes.js';
import { CallerMemory } from './memory/CallerMemory.js';
import { ClientLimitMetrics } from './memory/ClientLimitMetrics.js';
import {
  type ConnectionLimits,
  connectionLimits,
  descriptorLimit,
  memoryBudgetBytes,
  requestLimit,
} from './memory/clientLimits.js';
import { MessageReceiver } from './peers/MessageReceiver.js';
import { LeaderCoordinator } from './peers/LeaderCoordinator.js';
import { PeerAnnouncementSender } from './peers/PeerAnnouncementSender.js';
import { PeerServer } from './peers/PeerServer.js';
import { PeerClient } from './peers/PeerClient.js';
import { CrashCoordinator } from './peers/CrashCoordinator.js';
import { LeaderMessages } from './peers/LeaderMessages.js';
import { LeaderView } from './peers/LeaderView.js';
import { StreamCoordinator } from './peers/StreamCoordinator.js';
import { RateLimitCoordinator } from './peers/RateLimitCoordinator.js';
import { SpeedCoordinator } from './peers/SpeedCoordinator.js';
import { messageIntervals } from './peers/messageIntervals.js';
import { QuotaCoordinator } from './peers/QuotaCoordinator.js';
import { Reporter } from './peers/Reporter.js';
import type { DaemonReport, LeaderStatus } from './peers/Types.js';
import { ArrivalCounter } from './placement/ArrivalCounter.js';
import { PlacementLeader } from './placement/PlacementLeader.js';
import { DaemonQuotas } from './quotas/DaemonQuotas.js';
import { QuotaAllocator } from './quotas/QuotaAllocator.js';
import { QuotaMetrics } from './quotas/QuotaMetrics.js';
import { QuotaStep } from './quotas/QuotaStep.js';
import { QuotaTable } from './quotas/QuotaTable.js';
import { RateLimitedEngineClient } from './rateLimits/RateLimitedEngineClient.js';
import { RateLimitMetrics } from './rateLimits/RateLimitMetrics.js';
import { type PermitSource, type RateLimitContext, ReplicaRateLimits } from './rateLimits/ReplicaRateLimits.js';
import { ReplicaDirectory } from './replicas/ReplicaDirectory.js';
import { StoreTables } from './replicas/StoreTables.js';
import { TableForwarder } from './replicas/TableForwarder.js';
import { RetryBudgets } from './retries/RetryBudgets.js';
import { ChoiceMetrics } from './routing/ChoiceMetrics.js';
import { ReplicaLoads } from './routing/ReplicaLoads.js';
import { RoutingTables } from './RoutingTables.js';
import { LastingSpeeds } from './speeds/LastingSpeeds.js';
import { SpeedReports } from './speeds/SpeedReports.js';
import { streamLifetimeMs } from './streams/streamLifetimeMs.js';
import { StopSchedule } from './StopSchedule.js';
import { KeyMetrics } from './tenants/KeyMetrics.js';
import { KeyStep } from './tenants/KeyStep.js';
import { TenantKeys } from './tenants/TenantKeys.js';
import type { Address, Instant } from './Types.js';
import { WaitingMetrics } from './waiting/WaitingMetrics.js';
import { WaitingRequests } from './waiting/WaitingRequests.js';

/** Time between two steps of the periodic work of a daemon that leads, milliseconds. */
const leaderTickMs = 100;
/** Interval of the metrics that go over all replicas, milliseconds. */
const choiceMetricsIntervalMs = 2_000;

/** A gateway daemon: serves callers, follows the store, and leads placement while it holds the lease. */
export class Gateway implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();
  private readonly _directory: ReplicaDirectory;
  private readonly _tables: StoreTables;
  private readonly _routingTables: RoutingTables;
  private readonly _tableForwarder: TableForwarder;
  private readonly _leaderElector: LeaderElector;
  private readonly _knownLeader: KnownLeader;
  private readonly _leaseStore: PeerAssistedLeaseStore;
  private readonly _peerServer: PeerServer;
  private readonly _peerClient: PeerClient;
  private readonly _leader: PlacementLeader;
  private readonly _leaderMessages: LeaderMessages;
  private readonly _leaderView = new LeaderView();
  private readonly _reporter: Reporter;
  private readonly _loads: ReplicaLoads;
  private readonly _choiceMetrics: ChoiceMetrics;
  private readonly _waitingRequests = new WaitingRequests();
  private readonly _speedReports = new SpeedReports();
  private readonly _speeds = new LastingSpeeds();
  private readonly _speedCoordinator: SpeedCoordinator;
  private readonly _arrivals = new ArrivalCounter();
  private readonly _retryBudgets: RetryBudgets;
  private readonly _requestLog: RequestLog;
  private readonly _rateLimits: ReplicaRateLimits;
  private readonly _rateLimitCoordinator: RateLimitCoordinator;
  private readonly _quotaCoordinator: QuotaCoordinator;
  private readonly _crashGuard = new CrashGuard();
  private readonly _crashMetrics: CrashMetrics;
  private readonly _crashObserver: CrashObserver;
  private readonly _crashCoordinator: CrashCoordinator;
  private readonly _streams: StreamCoordinator;
  private readonly _tenantKeys: TenantKeys;
  private readonly _agent = new ReplicaAgent();
  private readonly _startWait = new StartWait();
  private readonly _openRequests = new OpenRequests();
  private readonly _messageReceiver: MessageReceiver;
  private readonly _connectionLimits: ConnectionLimits;
  private readonly _clientLimits: ClientLimitMetrics;
  private readonly _callerMemory: CallerMemory;
  private readonly _callers: CallerServer;
  private _choiceMetricsMs = Number.NEGATIVE_INFINITY;
  private _tickTimer: NodeJS.Timeout | undefined;
  private readonly _stopSchedule: StopSchedule;
  private readonly _gracefulStop: GracefulStop;

  public constructor(
    private readonly _settings: GatewaySettings,
    private readonly _platform: GatewayPlatform,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    const { store, engines } = _platform;
    this._directory = new ReplicaDirectory((id, text) => store.decodeReplica(id, text), _log.child('replicas'));
    this._routingTables = new RoutingTables(store, this._directory, _log);
    this._loads = new ReplicaLoads(_settings.name, (replicaId) => this._speeds.slowness(replicaId));
    this._retryBudgets = new RetryBudgets(_settings.retryBudget);
    this._stopSchedule = new StopSchedule(_settings.stopLimitMs);
    this._requestLog = new RequestLog(_log.child('requests'));
    this._connectionLimits = connectionLimits(descriptorLimit(_settings.maximumDescriptors));
    this._clientLimits = new ClientLimitMetrics(this._requestLog.registry, _log.child('limits'), () => this._nowMs());
    this._choiceMetrics = new ChoiceMetrics(this._requestLog.registry);
    this._peerServer = new PeerServer(_settings.peers, _clock, _log.child('peers'), {
      maximumConnections: this._connectionLimits.peers,
      onEnforced: (limit) => {
        this._clientLimits.count(limit);
      },
    });
    this._peerClient = new PeerClient(otherSeeds(_settings), _clock, _log.child('peers'));
    this._knownLeader = new KnownLeader(_settings.name, _log.child('lease'));
    const eraDelayMs = (): number => Math.random() * messageIntervals(this._leaderView.daemonCount).tickMs;
    const { replicaLivenessMs } = _settings;
    this._tables = new StoreTables(store, eraDelayMs, replicaLivenessMs, _clock, _log.child('store'));
    this._tableForwarder = this._createTableForwarder();
    const self = {
      holder: _settings.name,
      peerAddress: `${_settings.peers.host}:${_settings.peers.port}`,
    };
    const isLeaderAlive = (): boolean => this._isLeaderAlive();
    this._leaseStore = new PeerAssistedLeaseStore(
      store,
      (call) => this._peerServer.sendToNextPeer('leaseCall', call),
      _clock,
    );
    this._leaderElector = new LeaderElector(
      this._leaseStore,
      self,
      _settings.lease,
      takeoverBackoffMs(_settings.processorShare),
      _clock,
      _settings.isFirstStart,
      isLeaderAlive,
      _log.child('lease'),
    );
    const limitContext = {
      permitSource: (): PermitSource => this._permitSource(),
      daemonCount: (): number => this._retryBudgets.daemonCount,
      random: (): number => Math.random(),
    };
    const limitMetrics = new RateLimitMetrics(this._requestLog.registry);
    this._rateLimits = new ReplicaRateLimits(limitContext, limitMetrics, _log.child('limits'));
    this._rateLimitCoordinator = new RateLimitCoordinator(
      _settings.name,
      this._rateLimits,
      this._waitingRequests,
      { server: this._peerServer, client: this._peerClient },
      (now) => this._leaderElector.orderToken(now),
      _clock,
    );
    const isLeading = (): boolean => this._leaderElector.orderToken(this._clock.now()) !== undefined;
    this._speedCoordinator = new SpeedCoordinator(this._speeds, this._peerServer, this._peerClient, isLeading);
    const keyMetrics = new KeyMetrics(this._requestLog.registry);
    this._tenantKeys = new TenantKeys(_settings.revocation, keyMetrics, _log.child('tenants'));
    this._quotaCoordinator = this._createQuotaCoordinator(limitContext);
    this._crashMetrics = new CrashMetrics(this._requestLog.registry);
    this._crashCoordinator = new CrashCoordinator(
      this._crashGuard,
      { server: this._peerServer, client: this._peerClient },
      store,
      () => this._leaderElector.isHolder,
      _clock,
      _log.child('crashes'),
    );
    this._crashObserver = new CrashObserver(this._crashGuard, this._crashContext(), _clock, _log.child('crashes'));
    this._streams = this._createStreamCoordinator();
    this._leader = new PlacementLeader(
      _settings.name,
      () => this._routingTables.routes?.configuration,
      this._directory,
      new RateLimitedEngineClient(engines, this._rateLimitCoordinator, _clock),
      (now) => this._leaderElector.orderToken(now),
      _clock,
      _log.child('placement'),
      (replicaId) => this._rateLimitCoordinator.placedLimit(replicaId),
      (replicaId) => this._speeds.slowness(replicaId) ?? 1,
    );
    this._leaderMessages = new LeaderMessages(this._peerServer, this._leader, _clock);
    this._reporter = new Reporter(
      _settings.name,
      {
        waitingRequests: this._waitingRequests,
        arrivals: this._arrivals,
        loads: this._loads,
        rateLimits: this._rateLimits,
        speeds: this._speedReports,
      },
      (report) => {
        this._sendReport(report);
      },
      () => this._leaderView.daemonCount,
      _clock,
    );
    this._messageReceiver = this._createMessageReceiver();
    const budgetBytes = memoryBudgetBytes(_settings.memoryMegabytes);
    this._callerMemory = new CallerMemory(budgetBytes, this._clientLimits, () => this._nowMs());
    const { callers: maximumConnections } = this._connectionLimits;
    this._callers = new CallerServer(
      this._exchangeContext(),
      _settings.callers,
      _log.child('callers'),
      { maximumConnections, maximumRequests: requestLimit(budgetBytes, maximumConnections) },
      this._clientLimits,
    );
    this._gracefulStop = new GracefulStop(this._stopSchedule, this._openRequests, this._callers, _clock, _log);
    this._connectComponents();
  }

  /** Starts serving. */
  public async open(): Promise<void> {
    for (const resource of [
      this._peerServer,
      this._peerClient,
      this._leaderElector,
      this._leaderMessages,
      this._reporter,
      this._quotaCoordinator,
      this._tables,
    ]) {
      this._resources.register(resource);
    }
    this._resources.register(this._platform.store);
    this._resources.register(this._platform.engines);
    await this._peerServer.open();
    this._tables.start();
    await this._crashCoordinator.readBlocks();
    this._leaderElector.start();
    this._scheduleTick();
    this._resources.register(() => {
      clearTimeout(this._tickTimer);
    });
    await this._callers.open();
  }

  /** True if this daemon is ready for new callers. */
  public get isReady(): boolean {
    return !this._stopSchedule.isStopping && this._hasTables;
  }

  private get _hasTables(): boolean {
    return this._routingTables.routes !== undefined && this._directory.size > 0;
  }

  /** Metrics in the text format of Prometheus. */
  public metrics(): Promise<string> {
    return this._requestLog.registry.metrics();
  }

  public get maximumStatusConnections(): number {
    return this._connectionLimits.status;
  }

  public recordStatusLimit(): void {
    this._clientLimits.count('statusConnections');
  }

  /** Begins the time that a stop may take. Called at the signal, which may come before this daemon is open. */
  public announceStop(): void {
    this._gracefulStop.announce();
  }

  /** Stops gracefully, with an answer to each request. */
  public async stop(): Promise<{ readonly unfinished: number }> {
    const result = await this._gracefulStop.run();
    // The lease is held until now, because a restarted daemon on this VM may send orders sooner than another VM.
    await this._leaderElector.release();
    return result;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this._callers.close();
    this._callerMemory[Symbol.dispose]();
    this._agent.destroy();
    await this._resources[Symbol.asyncDispose]();
  }

  private _createTableForwarder(): TableForwarder {
    const context = {
      tables: this._tables,
      routingTables: this._routingTables,
      directory: this._directory,
      server: this._peerServer,
      client: this._peerClient,
      leaderView: this._leaderView,
      livenessMs: this._settings.replicaLivenessMs,
    };
    return new TableForwarder(context, this._clock, this._log.child('store'));
  }

  private _createQuotaCoordinator(context: RateLimitContext): QuotaCoordinator {
    const { name } = this._settings;
    const metrics = new QuotaMetrics(this._requestLog.registry);
    const table = new QuotaTable(() => this._routingTables.routes?.configuration.tenants ?? []);
    return new QuotaCoordinator(
      new DaemonQuotas(name, this._clock.now().wallMs, context, metrics),
      new QuotaAllocator((tenant) => table.quotaOf(tenant), this._log.child('quotas')),
      { server: this._peerServer, client: this._peerClient },
      (now) => this._leaderElector.orderToken(now),
      () => this._leaderView.daemonCount,
      this._clock,
    );
  }

  private _createStreamCoordinator(): StreamCoordinator {
    const context = {
      replicas: () => this._directory.all(),
      lifetimeMs: () => streamLifetimeMs(this._routingTables.routes?.configuration),
      isFirstStart: this._settings.isFirstStart,
      holdsLease: () => this._leaderElector.isLeaseHeld(this._clock.now()),
      hearsLeader: () => this._hearsLeader(),
      daemonCount: () => this._retryBudgets.daemonCount,
    };
    const links = { server: this._peerServer, client: this._peerClient };
    return new StreamCoordinator(links, this._platform.store, context, this._clock, this._log.child('streams'));
  }

  private _createLeaderAnnouncer(): LeaderAnnouncer {
    const seeds = otherSeeds(this._settings).map(({ host, port }) => `${host}:${port}`);
    const sender = new PeerAnnouncementSender(this._clock);
    const isHolder = (): boolean => this._leaderElector.isHolder;
    return new LeaderAnnouncer(this._knownLeader, seeds, sender, isHolder, this._log.child('lease'));
  }

  private _createMessageReceiver(): MessageReceiver {
    return new MessageReceiver({
      server: this._peerServer,
      client: this._peerClient,
      tables: this._tables,
      directory: this._directory,
      leaseStore: this._leaseStore,
      leaderMessages: this._leaderMessages,
      applyStatus: (status) => {
        this._applyStatus(status);
      },
      applyLoads: (running) => {
        this._applyLoads(running);
      },
      applyEstimates: (estimates) => {
        this._leaderView.applyEstimates(estimates, this._nowMs());
      },
    });
  }

  private _connectComponents(): void {
    this._routingTables.onConfiguration((configuration) => {
      this._callers.applyLimits(configuration.callerLimits);
      this._tenantKeys.apply(configuration);
      this._endStartWaitSoon();
    });
    this._directory.onChanged(() => {
      this._endStartWaitSoon();
      this._waitingRequests.redispatchAll(this._nowMs());
    });
    this._crashGuard.onChanged(() => {
      this._waitingRequests.redispatchAll(this._nowMs());
    });
    this._leaderElector.onLeader((leader) => {
      this._knownLeader.learnFromStore(leader);
    });
    this._knownLeader.onChanged(({ peerAddress }) => {
      const { isSelf } = this._knownLeader;
      if (isSelf) {
        this._tables.requestFullReplicaRead();
      }
      this._peerClient.setLeader(isSelf ? undefined : common.settings.parseAddress(peerAddress));
    });
    new LeaderCoordinator(this._knownLeader, { server: this._peerServer, client: this._peerClient });
    this._resources.register(this._createLeaderAnnouncer());
    this._leader.onPlanned(() => {
      this._leaderView.applyEstimates(this._leader.estimates(), this._nowMs());
    });
    this._leader.onHoldings((holdings) => {
      this._directory.applyHoldings(holdings);
    });
  }

  /** Schedules the next step of the periodic work, which includes reports, placement and checks for peers that send no messages. */
  private _scheduleTick(): void {
    const { tickMs } = messageIntervals(this._leaderView.daemonCount);
    this._tickTimer = setTimeout(
      () => {
        this._tick();
        this._scheduleTick();
      },
      this._leaderElector.isHolder ? leaderTickMs : tickMs,
    );
  }

  private _tick(): void {
    const nowMs = this._nowMs();
    this._directory.expire(nowMs);
    this._peerServer.closeSilentChannels(nowMs);
    this._peerClient.maintainConnection(nowMs, !this._leaderElector.isHolder);
    this._tableForwarder.updateReadTiming(nowMs);
    this._leader.tick();
    if (this._leaderElector.isHolder || this._peerServer.peerCount > 0) {
      this._sendStatus(nowMs);
    }
    this._reporter.reportIfDue();
    this._loads.retain((id) => this._directory.get(id) !== undefined, nowMs);
    this._updateChoiceMetrics(nowMs);
    this._rateLimits.retain((id) => this._directory.get(id)?.bornMs);
    this._rateLimitCoordinator.tick();
    this._speedCoordinator.tick((id) => this._directory.get(id) !== undefined, nowMs);
    this._quotaCoordinator.tick();
    this._crashCoordinator.tick();
    this._streams.tick();
    this._crashMetrics.setCounts(this._crashGuard.counts);
  }

  private _updateChoiceMetrics(nowMs: number): void {
    if (nowMs - this._choiceMetricsMs >= choiceMetricsIntervalMs) {
      this._choiceMetricsMs = nowMs;
      const candidates = this._directory.all().map((replica) => this._loads.candidate(replica, [], nowMs));
      this._choiceMetrics.setUtilisation(candidates);
    }
  }

  private _sendStatus(nowMs: number): void {
    const idle = this._directory.all().map(({ id }) => [id, 0] as const);
    const running = new Map([...idle, ...this._leader.runningTotals()]);
    const status = this._leaderMessages.sendIfDue(this._tables.isCurrent(nowMs), this._tables.endOffsets(), running);
    if (status.leads) {
      this._applyStatus(status);
      this._applyLoads(running);
    }
  }

  private _applyStatus(status: LeaderStatus): void {
    this._leaderView.applyStatus(status, this._nowMs());
    if (status.leads) {
      const nowMs = this._nowMs();
      // Unchanged loads are left out, so that a message without loads confirms those of one interval ago.
      this._loads.recordLeaderUpdate(nowMs - this._leaderLagMs() - messageIntervals(status.daemonCount).loadsMs);
      this._retryBudgets.setDaemonCount(status.daemonCount, nowMs);
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
    this._loads.recordLeaderUpdate(nowMs - this._leaderLagMs());
  }

  /** Mean time from the requests of the daemons to the leader's sum of their reports, milliseconds. */
  private _leaderLagMs(): number {
    return messageIntervals(this._leaderView.daemonCount).reportMs / 2;
  }

  private _sendReport(report: DaemonReport): void {
    if (this._leaderElector.isHolder) {
      this._leader.applyReport(report);
      this._rateLimitCoordinator.applyReport(report);
      this._speedCoordinator.applyReport(report);
    } else {
      this._peerClient.send('report', report);
    }
  }

  private _crashContext(): CrashObserverContext {
    return {
      hasEnded,
      isLeaving: ({ id, bornMs }) => {
        const known = this._directory.get(id);
        return known?.bornMs !== bornMs || known.state === 'draining';
      },
      report: (report) => {
        this._crashMetrics.count('crash');
        this._crashCoordinator.report(report);
      },
    };
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
      speedReports: this._speedReports,
      choiceMetrics: this._choiceMetrics,
      waitingRequests: this._waitingRequests,
      waitingMetrics: new WaitingMetrics(this._requestLog.registry, this._waitingRequests),
      retryBudgets: this._retryBudgets,
      rateLimits: this._rateLimits,
      crashGuard: this._crashGuard,
      crashObserver: this._crashObserver,
      crashMetrics: this._crashMetrics,
      streams: this._streams,
      agent: this._agent,
      startWait: this._startWait,
      openRequests: this._openRequests,
      callerMemory: this._callerMemory,
      admission: this._admissionSteps(),
      routes: () => this._routingTables.routes,
      readyInMs: (model) => this._readyInMs(model),
      hasIdleConnection: (address) => this._agent.hasIdleConnection(address),
      random: () => Math.random(),
      awaitsFirstLeader: () => this._leaderView.awaitsFirstLeader(this._nowMs()),
      knowsReplicas: (now) => this._knowsReplicas(now),
      returnSpreadMs: (model) => this._leaderView.spreadMs(model, this._nowMs()),
      markReplicaLeaving: ({ id, bornMs }) => {
        this._messageReceiver.markLeaving({ replicaId: id, bornMs });
      },
      recordArrival: (modelReference, route) => {
        this._arrivals.record(modelReference, route.latencyTargetMs, callerTimeoutMs(route));
      },
      notifyWaitStarted: () => {
        this._reporter.scheduleUrgentReport();
      },
      isStopping: () => this._stopSchedule.isStopping,
      longestRequestMs: (nowMs) => this._stopSchedule.longestRequestMs(nowMs),
    };
  }

  /** Ends the wait of callers for the tables once both are known and all records of the current read are applied. */
  private _endStartWaitSoon(): void {
    if (!this._startWait.isReady && this._hasTables) {
      setImmediate(() => {
        this._startWait.setReady();
      });
    }
  }

  private _admissionSteps(): ExchangeContext['admission'] {
    const tenantKeys = this._tenantKeys;
    const beforeDispatch = [new QuotaStep(this._quotaCoordinator)];
    return { beforeBody: [new KeyStep(tenantKeys)], beforeDispatch, tenantKeys };
  }

  private _readyInMs(model: string): number | undefined {
    return this._isLeaderAlive() ? this._leaderView.readyInMs(model, this._nowMs()) : undefined;
  }

  private _isLeaderAlive(): boolean {
    return this._leaderElector.isHolder || this._hearsLeader();
  }

  /** True unless this daemon is out of step: it neither leads nor has heard of its peers or read the store for some time. */
  private _knowsReplicas(now: Instant): boolean {
    return (
      this._peerClient.hasHeard(now) || this._tables.hasRead(now) || this._leaderElector.orderToken(now) !== undefined
    );
  }

  private _permitSource(): PermitSource {
    if (this._leaderElector.orderToken(this._clock.now()) !== undefined) {
      return 'self';
    }
    return this._hearsLeader() ? 'leader' : 'none';
  }

  private _hearsLeader(): boolean {
    return this._leaderView.isLeading && this._peerClient.isAlive(this._nowMs());
  }

  private _nowMs(): number {
    return this._clock.now().steadyMs;
  }
}

function otherSeeds(settings: GatewaySettings): readonly Address[] {
  return settings.seeds.filter((seed) => seed.host !== settings.peers.host);
}
