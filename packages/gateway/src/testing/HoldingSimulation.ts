import { type Candidate, chooseReplica } from '../routing/chooseReplica.js';
import type { Replica } from '../Types.js';
import { TenantShares } from '../waiting/TenantShares.js';
import { TenantTurns } from '../waiting/TenantTurns.js';
import { sampleReplica } from './sampleReplica.js';
import { seededRandom } from './seededRandom.js';

const stepMs = 10;
/** Requests with a later latency target are patient, milliseconds. */
const patientTargetMs = 1_000;
/** Requests that a replica queues before it refuses. */
const replicaQueueLimit = 48;

/** Requests of one kind. */
export interface RequestClass {
  readonly name: string;
  /** Share of the requests. */
  readonly share: number;
  readonly urgency: number;
  readonly targetMs: number;
  readonly timeoutMs: number;
  readonly tenantName?: string;
}

export interface HoldingOptions {
  readonly daemons: number;
  /** Age of the load reports when they arrive, and time between two of them, milliseconds. */
  readonly reports: { readonly delayMs: number; readonly intervalMs: number };
  readonly replicas: number;
  readonly slots: number;
  readonly meanRunMs: number;
  /** Offered load as a multiple of the capacity, by second. */
  readonly load: (second: number) => number;
  readonly classes: readonly RequestClass[];
  /** Requests beyond the slots with which a replica counts as full; undefined if requests are never held. */
  readonly heldFrom: number | undefined;
  /** Requests that are held; the others are always sent. */
  readonly held: 'all' | 'patient' | 'exceedingTenants';
  readonly durationMs: number;
  readonly seed: number;
}

/** What the callers of a class got. */
export interface ClassResult {
  inTime: number;
  late: number;
  /** Not served before the caller left, or refused by a full replica. */
  lost: number;
}

interface SimulatedRequest {
  readonly class: RequestClass;
  readonly urgency: number;
  readonly lateAtMs: number;
  readonly leavesAtMs: number;
  readonly sizeBytes: number;
  readonly tenantName: string | undefined;
  readonly runMs: number;
  readonly daemon: SimulatedDaemon;
}

interface SimulatedDaemon {
  readonly own: number[];
  readonly others: number[];
  readonly turns: TenantTurns;
  readonly shares: TenantShares;
  waiting: SimulatedRequest[];
}

interface SimulatedReplica {
  readonly record: Replica;
  running: { readonly request: SimulatedRequest; readonly endMs: number }[];
  queue: SimulatedRequest[];
}

/**
 * Plays overload of one service: daemons that learn of loads late choose replicas, which admit by urgency and then in
 * the order of arrival. Requests are sent at once, or held at the daemon while all replicas are full.
 */
export class HoldingSimulation {
  public readonly results = new Map<string, ClassResult>();
  private readonly _random: () => number;
  private readonly _daemons: readonly SimulatedDaemon[];
  private readonly _replicas: readonly SimulatedReplica[];
  private _reports: { readonly atMs: number; readonly totals: readonly number[]; readonly own: readonly number[][] }[] =
    [];

  public constructor(private readonly _options: HoldingOptions) {
    const { daemons, replicas, slots, seed } = _options;
    this._random = seededRandom(seed);
    this._daemons = Array.from({ length: daemons }, () => ({
      own: Array.from({ length: replicas }, () => 0),
      others: Array.from({ length: replicas }, () => 0),
      turns: new TenantTurns(),
      shares: new TenantShares(),
      waiting: [],
    }));
    this._replicas = Array.from({ length: replicas }, (_none, index) => ({
      record: sampleReplica({ id: String(index), slots }),
      running: [],
      queue: [],
    }));
  }

  public run(): ReadonlyMap<string, ClassResult> {
    for (let nowMs = 0; nowMs < this._options.durationMs; nowMs += stepMs) {
      this._replicas.forEach((replica, index) => {
        this._serve(replica, index, nowMs);
      });
      this._sendNews(nowMs);
      this._arrive(nowMs);
      for (const daemon of this._daemons.filter(({ waiting }) => waiting.length > 0)) {
        this._dispatchWaiting(daemon, nowMs);
      }
    }
    return this.results;
  }

  private _serve(replica: SimulatedReplica, index: number, nowMs: number): void {
    const ended = replica.running.filter(({ endMs, request }) => endMs <= nowMs || request.leavesAtMs <= nowMs);
    replica.running = replica.running.filter((run) => !ended.includes(run));
    const left = replica.queue.filter(({ leavesAtMs }) => leavesAtMs <= nowMs);
    replica.queue = replica.queue.filter((request) => !left.includes(request));
    for (const request of [...ended.map((run) => run.request), ...left]) {
      const { own, others } = request.daemon;
      own[index] = (own[index] ?? 0) - 1;
      others[index] = Math.max(replica.running.length + replica.queue.length - own[index], 0);
      this._record(request, nowMs);
    }
    while (replica.running.length < replica.record.slots && replica.queue.length > 0) {
      const request = replica.queue.shift();
      if (request !== undefined) {
        replica.running.push({ request, endMs: nowMs + request.runMs });
      }
    }
  }

  private _sendNews(nowMs: number): void {
    const { reports } = this._options;
    if (nowMs % reports.intervalMs === 0) {
      const totals = this._replicas.map(({ running, queue }) => running.length + queue.length);
      this._reports.push({ atMs: nowMs + reports.delayMs, totals, own: this._daemons.map(({ own }) => [...own]) });
    }
    const message = this._reports[0];
    if (message !== undefined && message.atMs <= nowMs) {
      this._reports.shift();
      this._daemons.forEach(({ others }, daemon) => {
        message.totals.forEach((total, index) => {
          others[index] = Math.max(total - (message.own[daemon]?.[index] ?? 0), 0);
        });
      });
    }
  }

  private _arrive(nowMs: number): void {
    const { replicas, slots, meanRunMs, load, classes } = this._options;
    const perStep = ((replicas * slots) / meanRunMs) * stepMs * load(Math.floor(nowMs / 1000));
    for (let left = perStep; this._random() < left; left -= 1) {
      const daemon = this._daemons[Math.floor(this._random() * this._daemons.length)];
      let share = this._random();
      const found = classes.find((one) => (share -= one.share) < 0) ?? classes[0];
      if (daemon !== undefined && found !== undefined) {
        const runMs = -Math.log(1 - this._random()) * meanRunMs;
        const times = { lateAtMs: nowMs + found.targetMs, leavesAtMs: nowMs + found.timeoutMs, sizeBytes: 0, runMs };
        const { urgency, tenantName } = found;
        daemon.shares.record('s', tenantName ?? '', nowMs);
        daemon.waiting.push({ class: found, urgency, tenantName, ...times, daemon });
      }
    }
  }

  private _dispatchWaiting(daemon: SimulatedDaemon, nowMs: number): void {
    const { heldFrom } = this._options;
    const left = daemon.waiting.filter(({ leavesAtMs }) => leavesAtMs <= nowMs);
    left.forEach((request) => {
      this._record(request, nowMs);
    });
    const ordered = daemon.turns.order(
      daemon.waiting.filter((request) => !left.includes(request)),
      nowMs,
    );
    daemon.waiting = [];
    for (const request of ordered) {
      const candidates = this._replicas.map((replica, index) => this._candidate(replica, index, daemon));
      const isFull = ({ running, replica }: Candidate): boolean =>
        heldFrom !== undefined && this._mayBeHeld(request, nowMs) && running >= replica.slots + heldFrom;
      const open = candidates.filter((candidate) => !isFull(candidate));
      const chosen = chooseReplica(open, 'a', this._random);
      if (chosen === undefined) {
        daemon.waiting.push(request);
      } else {
        daemon.turns.recordServed(request.tenantName);
        this._send(request, Number(chosen.replica.id), nowMs);
      }
    }
  }

  private _mayBeHeld({ class: { targetMs }, tenantName, daemon }: SimulatedRequest, nowMs: number): boolean {
    const { held } = this._options;
    if (held === 'exceedingTenants') {
      return daemon.shares.exceedsShare('s', tenantName, nowMs);
    }
    return held === 'all' || targetMs > patientTargetMs;
  }

  private _candidate({ record }: SimulatedReplica, index: number, { own, others }: SimulatedDaemon): Candidate {
    const { reports, meanRunMs } = this._options;
    const reportAgeMs = reports.delayMs + reports.intervalMs / 2;
    const currentShare = Math.exp(-reportAgeMs / meanRunMs);
    const meanOthers = others.reduce((sum, count) => sum + count, 0) / Math.max(this._replicas.length, 1);
    const knownRunning = (own[index] ?? 0) + (others[index] ?? 0) * currentShare;
    const running = knownRunning + meanOthers * (1 - currentShare);
    const health = { slowness: 1, failureShare: 0, isUnreachable: false, hasPromptParts: false, hasConnection: false };
    return { replica: record, running, knownRunning, reportAgeMs, runMs: meanRunMs, ...health };
  }

  private _send(request: SimulatedRequest, index: number, nowMs: number): void {
    const replica = this._replicas[index];
    if (replica === undefined || replica.queue.length >= replicaQueueLimit) {
      this._result(request).lost += 1;
      return;
    }
    const { own } = request.daemon;
    own[index] = (own[index] ?? 0) + 1;
    if (replica.running.length < replica.record.slots) {
      replica.running.push({ request, endMs: nowMs + request.runMs });
    } else {
      replica.queue.push(request);
      replica.queue.sort((first, second) => first.urgency - second.urgency);
    }
  }

  private _record(request: SimulatedRequest, nowMs: number): void {
    const result = this._result(request);
    if (nowMs >= request.leavesAtMs) {
      result.lost += 1;
    } else if (nowMs <= request.lateAtMs) {
      result.inTime += 1;
    } else {
      result.late += 1;
    }
  }

  private _result({ class: { name } }: SimulatedRequest): ClassResult {
    const result = this.results.get(name) ?? { inTime: 0, late: 0, lost: 0 };
    this.results.set(name, result);
    return result;
  }
}
