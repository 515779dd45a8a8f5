import type * as net from 'node:net';
import type { Replica } from '../Types.js';
import { type ExpectedLoad, SendLog } from './SendLog.js';
import { UsedConnections } from './UsedConnections.js';

/** Records the replicas that one request was sent to, and counts those that may have run it. */
export class AttemptHistory {
  /** Connections that the request was sent on. */
  public readonly connections = new UsedConnections();
  public readonly sends = new SendLog();
  private readonly _replicaIds: string[] = [];
  private readonly _softwareVersions: string[] = [];
  private readonly _excluded = new Set<string>();
  private _possibleRuns = 0;
  private _currentCounted = false;

  /** Replicas that the request was sent to, in order. */
  public get replicaIds(): readonly string[] {
    return this._replicaIds;
  }

  /** Software versions of these replicas when the request was sent to them. */
  public get softwareVersions(): readonly string[] {
    return this._softwareVersions;
  }

  /** Replicas that are not selected because an attempt of this request has just failed there. */
  public get excluded(): ReadonlySet<string> {
    return this._excluded;
  }

  /** Number of replicas that may have run the request. */
  public get possibleRuns(): number {
    return this._possibleRuns;
  }

  /** Number of replicas before the current one that may have run the request. */
  public get earlierPossibleRuns(): number {
    return this._possibleRuns - (this._currentCounted ? 1 : 0);
  }

  /** Records that the request is sent to a replica, which becomes the current one. */
  public startAttempt({ id, softwareVersion }: Pick<Replica, 'id' | 'softwareVersion'>, expected?: ExpectedLoad): void {
    this._replicaIds.push(id);
    this._softwareVersions.push(softwareVersion);
    this.sends.start(id, expected);
    this._excluded.add(id);
    this._currentCounted = false;
  }

  /** Records the connection that the request is written on now. */
  public recordConnection(socket: net.Socket, isKept: boolean): void {
    this.connections.add(socket);
    this.sends.recordConnection(isKept ? 'kept' : 'new');
  }

  /** Records that the current replica may have run the request; counts it once. */
  public countPossibleRun(): void {
    if (!this._currentCounted) {
      this._currentCounted = true;
      this._possibleRuns += 1;
    }
  }

  /** Allows all replicas to be selected again. */
  public clearExcluded(): void {
    this._excluded.clear();
  }
}
