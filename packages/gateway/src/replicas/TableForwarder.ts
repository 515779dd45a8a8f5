import type { Clock } from '../Clock.js';
import type { LeaderView } from '../peers/LeaderView.js';
import { messageIntervals } from '../peers/messageIntervals.js';
import type { PeerClient } from '../peers/PeerClient.js';
import type { PeerServer } from '../peers/PeerServer.js';
import type { TableMessage } from '../peers/Types.js';
import type { RoutingTables } from '../RoutingTables.js';
import { removalGraceMs, returnDelayMs } from './removalGrace.js';
import type { StoreTables } from './StoreTables.js';
import { readTiming, type TableUpdate } from './TableSynchronizer.js';

/** What a forwarder connects. */
export interface TableForwarderContext {
  readonly tables: StoreTables;
  readonly routingTables: RoutingTables;
  readonly server: PeerServer;
  readonly client: PeerClient;
  readonly leaderView: LeaderView;
  /** Time between two liveness reports of a replica, milliseconds. */
  readonly livenessMs: number;
}

/** Applies updates of the store's tables to the routing of this daemon, and forwards them to its peers. */
export class TableForwarder {
  public constructor(
    private readonly _context: TableForwarderContext,
    private readonly _clock: Clock,
  ) {
    _context.tables.onUpdate((update) => {
      this._apply(update);
    });
  }

  /** Sets the timing of this daemon's reads of the store by the state of the leader and the followers. */
  public updateReadTiming(nowMs: number): void {
    const { tables, server, client, leaderView } = this._context;
    const isAlive = client.isAlive(nowMs) && leaderView.forwardsChanges !== undefined;
    const liveLeader = leaderView.forwardsChanges === true ? 'current' : 'cutOff';
    const timing = readTiming({
      leader: isAlive ? liveLeader : 'unheard',
      hasFollowers: server.peerCount > 0,
      intervals: messageIntervals(leaderView.daemonCount),
    });
    tables.setTiming(timing);
  }

  private _apply(update: TableUpdate): void {
    const nowMs = this._clock.now().steadyMs;
    const graceMs = update.removalGraceMs ?? this._removalGraceMs(update, nowMs);
    const records = this._context.routingTables.apply(update, {
      nowMs,
      removalGraceMs: graceMs,
      ...(update.isRestored && { returnDelayMs: returnDelayMs(this._context.livenessMs) }),
    });
    if (records.length > 0) {
      this._forward({ table: update.table, records, end: 0, whole: false, era: update.era }, graceMs, update.source);
    }
  }

  private _removalGraceMs(update: TableUpdate, nowMs: number): number {
    const { tables, livenessMs } = this._context;
    const restoredMs = update.isRestored ? tables.restoredMs : undefined;
    return removalGraceMs({ outage: tables.replicaReadOutage, livenessMs, restoredMs }, nowMs);
  }

  /**
   * Forwards new records to the daemons that follow this one, and records read from the store also to a leader that
   * does not reach the store. Only the followers take over the grace period: the leader reads the store more often.
   */
  private _forward(message: TableMessage, graceMs: number, source: TableUpdate['source']): void {
    const { server, client, leaderView } = this._context;
    server.broadcast('table', { ...message, removalGraceMs: graceMs });
    if (source === 'store' && leaderView.forwardsChanges === false) {
      client.send('table', message);
    }
  }
}
