import * as http from 'node:http';
import * as net from 'node:net';
import * as metrics from 'prom-client';
import { systemClock } from '../Clock.js';
import { RouteTable } from '../configuration/RouteTable.js';
import { CrashGuard } from '../crashes/CrashGuard.js';
import { CrashMetrics } from '../crashes/CrashMetrics.js';
import { CrashObserver } from '../crashes/CrashObserver.js';
import { hasEnded } from '../crashes/hasEnded.js';
import type { CrashReport } from '../crashes/Types.js';
import type { AdmissionStep } from '../forwarding/admission/AdmissionStep.js';
import { CallerServer } from '../forwarding/CallerServer.js';
import { OpenRequests } from '../forwarding/OpenRequests.js';
import { ReplicaAgent } from '../forwarding/ReplicaAgent.js';
import { RequestLog } from '../forwarding/RequestLog.js';
import { StartWait } from '../forwarding/StartWait.js';
import type { ExchangeContext } from '../forwarding/Types.js';
import { CallerMemory } from '../memory/CallerMemory.js';
import { ClientLimitMetrics } from '../memory/ClientLimitMetrics.js';
import { memoryBudgetBytes } from '../memory/clientLimits.js';
import { RateLimitMetrics } from '../rateLimits/RateLimitMetrics.js';
import { ReplicaRateLimits } from '../rateLimits/ReplicaRateLimits.js';
import { ReplicaDirectory } from '../replicas/ReplicaDirectory.js';
import { RetryBudgets } from '../retries/RetryBudgets.js';
import { ChoiceMetrics } from '../routing/ChoiceMetrics.js';
import { ReplicaLoads } from '../routing/ReplicaLoads.js';
import { SpeedReports } from '../speeds/SpeedReports.js';
import type { Replica, Route } from '../Types.js';
import { WaitingMetrics } from '../waiting/WaitingMetrics.js';
import { WaitingRequests } from '../waiting/WaitingRequests.js';
import { FakeStreamOrigins } from './FakeStreamOrigins.js';
import { FakeCodec } from './FakeCodec.js';
import { silentLogger } from './SilentLogger.js';

/** Handles a connection to a replica after the head of a request has been read. */
export type ReplicaScript = (socket: net.Socket, head: string) => void;

/** A response as received by a caller. */
export interface ReceivedResponse {
  readonly status: number | undefined;
  readonly body: string;
  readonly complete: boolean;
  readonly headers: http.IncomingHttpHeaders;
}

const callerLimits = {
  maximumHeaderBytes: 2_000,
  maximumBodyBytes: 100,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};

/** A caller server with callers and scripted replicas on the loopback interface. */
export class ExchangeFixture implements AsyncDisposable {
  public stopping = false;
  public longestRequestMs = Number.POSITIVE_INFINITY;
  /** Interval at which the caller server checks for requests that are not received in time, milliseconds. */
  public connectionCheckMs: number | undefined;
  /** Retries that the retry budget allows in addition to its share of the requests. */
  public retrySlack = 1_000;
  public readonly admissionSteps: AdmissionStep[] = [];
  public admission: ExchangeContext['admission'] = { beforeBody: this.admissionSteps, beforeDispatch: [] };
  public readonly requestHeads: string[] = [];
  /** Admission steps before the body of a request is read. */
  /** Fields of the log lines of requests. */
  public readonly requestLines: Readonly<Record<string, unknown>>[] = [];
  public readonly codec = new FakeCodec();
  public knowsReplicas = true;
  public readonly crashGuard = new CrashGuard();
  public readonly crashReports: CrashReport[] = [];
  public readonly streams = new FakeStreamOrigins();
  /** Ends at once unless a test holds it. */
  public readonly startWait = new StartWait();
  public readonly openRequests = new OpenRequests();
  public holdsStartWait = false;
  private readonly _servers: net.Server[] = [];
  private readonly _replicas: Replica[] = [];
  private readonly _agent = new ReplicaAgent();
  private readonly _directory = new ReplicaDirectory(
    (id) => this._replicas.find((replica) => replica.id === id),
    silentLogger,
  );
  private readonly _clientLimits = new ClientLimitMetrics(new metrics.Registry(), silentLogger, () => Date.now());
  private _callerServer: CallerServer | undefined;
  private _port = 0;

  public constructor(
    private readonly _route: Partial<Route> = {},
    /** Another route, as far as it differs from the first one. */
    private readonly _otherRoute?: Partial<Route>,
  ) {}

  /** Adds a replica that runs a script for each chunk of a request. */
  public async addReplica(script: ReplicaScript): Promise<void> {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.on('data', (bytes) => {
        this.requestHeads.push(bytes.toString());
        script(socket, bytes.toString());
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    this._servers.push(server);
    this._addRecord((server.address() as net.AddressInfo).port);
  }

  /** Adds a replica whose address accepts no connections. */
  public async addUnreachableReplica(): Promise<void> {
    this._addRecord(await unusedPort());
  }

  private _addRecord(port: number): string {
    const id = `r${this._replicas.length}`;
    this._replicas.push({
      id,
      service: 's',
      address: { host: '127.0.0.1', port },
      failureDomain: 'a',
      softwareVersion: 'v1',
      slots: 4,
      state: 'ready',
      bornMs: 1,
      orderSequence: 0,
      models: [{ name: 'm', adapters: [] }],
      inMemory: [],
      onDisk: [],
    });
    return id;
  }

  /** Removes the records of all replicas from the directory, as after an outage of the store. */
  public removeRecords(): void {
    const removed = this._replicas.map((replica) => ({ key: replica.id, offset: 1 }));
    this._directory.apply(removed, { nowMs: 0, source: 'store', removalGraceMs: 0 });
  }

  /** Writes a later record of a replica. */
  public updateRecord(id: string, changes: Partial<Replica>): void {
    const index = this._replicas.findIndex((replica) => replica.id === id);
    const replica = this._replicas[index];
    if (replica !== undefined) {
      this._replicas[index] = { ...replica, ...changes };
    }
    const timing = { nowMs: 0, source: 'store' as const, removalGraceMs: 0 };
    this._directory.apply([{ key: id, offset: 3, value: 'any' }], timing);
  }

  /** Replaces the record of a replica by that of another one at the same address. */
  public replaceRecord(id: string): void {
    const address = this._replicas.find((replica) => replica.id === id)?.address;
    const successor = this._addRecord(address?.port ?? 0);
    const changes = [
      { key: id, offset: 1 },
      { key: successor, offset: 2, value: 'any' },
    ];
    this._directory.apply(changes, { nowMs: 0, source: 'store', removalGraceMs: 0 });
  }

  public async open(): Promise<void> {
    if (!this.holdsStartWait) {
      this.startWait.setReady();
    }
    const directory = this._directory;
    directory.apply(
      this._replicas.map((replica) => ({ key: replica.id, offset: 0, value: 'any' })),
      { nowMs: 0, source: 'store', removalGraceMs: 0 },
    );
    this._port = await unusedPort();
    this._callerServer = new CallerServer(
      this._context(directory),
      { host: '127.0.0.1', port: this._port },
      silentLogger,
      { maximumConnections: 1_000, maximumRequests: 1_000 },
      this._clientLimits,
      this.connectionCheckMs,
    );
    this._callerServer.applyLimits(callerLimits);
    await this._callerServer.open();
  }

  /** Sends a request and reads its response until it ends or fails. */
  public call(
    options: http.RequestOptions = {},
    disconnectAfterMs?: number,
    onText: (text: string) => void = () => undefined,
  ): Promise<ReceivedResponse> {
    return new Promise((resolve) => {
      const received = { status: undefined as number | undefined, body: '', headers: {} as http.IncomingHttpHeaders };
      const request = http.request({
        port: this._port,
        host: '127.0.0.1',
        path: '/p/x',
        agent: false,
        ...options,
        headers: { host: 'h', 'x-attempt': 'a1', ...(options.headers as Record<string, string> | undefined) },
      });
      const finish = (complete: boolean): void => {
        resolve({ ...received, complete });
      };
      request.on('error', () => {
        finish(false);
      });
      request.on('response', (response) => {
        received.status = response.statusCode;
        received.headers = response.headers;
        response.setEncoding('utf8');
        response.on('data', (text: string) => {
          received.body += text;
          onText(text);
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          finish(response.complete);
        });
      });
      request.end();
      if (disconnectAfterMs !== undefined) {
        setTimeout(() => request.destroy(), disconnectAfterMs);
      }
    });
  }

  /** Opens a connection to the caller server. */
  public connect(): net.Socket {
    return net.connect(this._port, '127.0.0.1');
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    this._callerServer?.close();
    this._agent.destroy();
    await Promise.all(this._servers.map((server) => new Promise((resolve) => server.close(resolve))));
  }

  private _context(directory: ReplicaDirectory): ExchangeContext {
    const route: Route = {
      name: 'route',
      host: 'h',
      pathPrefix: '/p/',
      kind: 'idempotent',
      timeoutMs: 5_000,
      latencyTargetMs: 200,
      maximumAttempts: 2,
      priority: 0,
      services: [{ service: 's', weight: 1 }],
      resumable: false,
      eventGapMs: 200,
      isKeyless: false,
      ...this._route,
    };
    const otherRoutes = this._otherRoute === undefined ? [] : [{ ...route, ...this._otherRoute }];
    const routes = new RouteTable({
      version: 1,
      routes: [route, ...otherRoutes],
      services: new Map(),
      callerLimits,
      tenants: [],
    });
    const retryBudgets = new RetryBudgets({ windowMs: 10_000, ratio: 0.2, slack: this.retrySlack });
    const requestLog = new RequestLog({
      ...silentLogger,
      info: (_message, fields = {}) => this.requestLines.push(fields),
    });
    const waitingRequests = new WaitingRequests();
    this.crashGuard.onChanged(() => {
      waitingRequests.redispatchAll(systemClock.now().steadyMs);
    });
    return {
      codec: this.codec,
      clock: systemClock,
      log: silentLogger,
      requestLog,
      failureDomain: 'a',
      directory,
      loads: new ReplicaLoads(),
      speedReports: new SpeedReports(),
      choiceMetrics: new ChoiceMetrics(requestLog.registry),
      waitingRequests,
      waitingMetrics: new WaitingMetrics(requestLog.registry, waitingRequests),
      retryBudgets,
      rateLimits: new ReplicaRateLimits(
        { permitSource: () => 'none', daemonCount: () => 1, random: () => 0 },
        new RateLimitMetrics(requestLog.registry),
        silentLogger,
      ),
      crashGuard: this.crashGuard,
      crashObserver: new CrashObserver(
        this.crashGuard,
        { hasEnded, isLeaving: () => false, report: (report) => this.crashReports.push(report) },
        systemClock,
        silentLogger,
      ),
      crashMetrics: new CrashMetrics(requestLog.registry),
      streams: this.streams,
      agent: this._agent,
      startWait: this.startWait,
      openRequests: this.openRequests,
      callerMemory: new CallerMemory(memoryBudgetBytes(undefined), this._clientLimits, () => Date.now()),
      admission: this.admission,
      routes: () => routes,
      readyInMs: () => undefined,
      hasIdleConnection: (address) => this._agent.hasIdleConnection(address),
      random: () => 0,
      awaitsFirstLeader: () => false,
      returnSpreadMs: () => 0,
      knowsReplicas: () => this.knowsReplicas,
      markReplicaLeaving: ({ id, bornMs }) => {
        directory.markLeaving(id, bornMs);
      },
      recordArrival: () => undefined,
      notifyWaitStarted: () => undefined,
      isStopping: () => this.stopping,
      longestRequestMs: () => this.longestRequestMs,
    };
  }
}

async function unusedPort(): Promise<number> {
  const probe = net.createServer();
  await new Promise<void>((resolve) => probe.listen(0, '127.0.0.1', resolve));
  const { port } = probe.address() as net.AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return port;
}
