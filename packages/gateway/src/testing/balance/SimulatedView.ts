import type { ReportedLoad } from '../../contracts/RequestCodec.js';
import type { ReplicaLoads } from '../../routing/ReplicaLoads.js';
import type { Replica } from '../../Types.js';

/** Time for which a daemon keeps an idle connection, milliseconds, and their largest number for a replica. */
const keptConnection = { idleMs: 4_000, maximum: 16 } as const;

/** What one daemon knows, both for the gateway's own choice and in a plain form for the others. */
export class SimulatedView {
  public readonly own: Int32Array;
  /** Total and time of the replica's last report to this daemon. */
  public readonly reportTotals: Float64Array;
  public readonly reportMs: Float64Array;
  public leaderTotals: readonly number[] = [];
  public leaderMs = Number.NEGATIVE_INFINITY;
  /** Times at which the idle connections to each replica became idle. */
  private readonly _connections: number[][];

  public constructor(
    public readonly replicas: readonly Replica[],
    public readonly loads: ReplicaLoads,
    public readonly failureDomain: string,
    public readonly random: () => number,
    public readonly requestsPerSecond: number,
    public readonly daemons: number,
  ) {
    this.own = new Int32Array(replicas.length);
    this.reportTotals = new Float64Array(replicas.length);
    this.reportMs = new Float64Array(replicas.length).fill(Number.NEGATIVE_INFINITY);
    this._connections = replicas.map(() => []);
  }

  public recordStart(index: number): void {
    this.own[index] = (this.own[index] ?? 0) + 1;
    this.loads.recordStart(this._id(index), undefined, []);
  }

  public recordEnd(index: number, runMs: number, nowMs: number): void {
    this.own[index] = (this.own[index] ?? 0) - 1;
    this.loads.recordRun(this._id(index), runMs, '', nowMs);
    this.loads.recordEnd(this._id(index), undefined);
    const connections = this._connections[index];
    if (connections !== undefined && connections.length < keptConnection.maximum) {
      connections.push(nowMs);
    }
  }

  public recordReport(index: number, reported: ReportedLoad, nowMs: number): void {
    this.reportTotals[index] = reported.running + reported.waiting;
    this.reportMs[index] = nowMs;
    this.loads.recordReport(this._id(index), reported, nowMs);
  }

  public recordLeaderTotals(totals: readonly number[], asOfMs: number): void {
    this.leaderTotals = totals;
    this.leaderMs = asOfMs;
    for (const [index, total] of totals.entries()) {
      this.loads.recordLeaderTotal(this._id(index), total);
    }
    this.loads.recordLeaderUpdate(asOfMs);
  }

  /** True if an idle connection to the replica is kept. */
  public hasConnection(index: number, nowMs: number): boolean {
    return (this._connections[index]?.at(-1) ?? Number.NEGATIVE_INFINITY) > nowMs - keptConnection.idleMs;
  }

  /** Takes a connection to the replica; returns true if it is a new one. */
  public takeConnection(index: number, nowMs: number): boolean {
    const isKept = this.hasConnection(index, nowMs);
    const connections = this._connections[index] ?? [];
    if (isKept) {
      connections.pop();
    } else {
      connections.length = 0;
    }
    return !isKept;
  }

  private _id(index: number): string {
    return this.replicas[index]?.id ?? '';
  }
}
