import type * as common from '@jayhaven/common';
import type { Clock } from '../Clock.js';
import type { LeaderView } from '../peers/LeaderView.js';
import { messageIntervals } from '../peers/messageIntervals.js';
import type { PeerClient } from '../peers/PeerClient.js';
import type { PeerServer } from '../peers/PeerServer.js';
import type { TableMessage } from '../peers/Types.js';
import type { RoutingTables } from '../RoutingTables.js';
import type { ReplicaDirectory } from './ReplicaDirectory.js';
import { returnDelayMs } from './removalGrace.js';
import type { StoreTables } from './StoreTables.js';
import { readTiming, type ReadSituation, type RecordSource, type TableUpdate } from './TableSynchronizer.js';

/** What a forwarder connects. */
export interface TableForwarderContext {
  readonly tables: StoreTables;
  readonly routingTables: RoutingTables;
  readonly directory: Pick<ReplicaDirectory, 'expire'>;
  readonly server: Pick<PeerServer, 'broadcast' | 'peerCount'>;
  readonly client: Pick<PeerClient, 'isAlive' | 'send'>;
  readonly leaderView: LeaderView;
  /** Time between two liveness reports of a replica, milliseconds. */
  readonly livenessMs: number;
}

/** Applies updates of the store's tables to the routing of this daemon, and forwards them to its peers. */
export class TableForwarder {
  private _leaderState: ReadSituation['leader'] | undefined;

  public constructor(
    private readonly _context: TableForwarderContext,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    _context.tables.onUpdate((update) => {
      this._apply(update);
    });
    _context.tables.onReplicasRead(() => {
      if (_context.leaderView.forwardsChanges === false) {
        _context.client.send('storeRead', {});
      }
    });
  }

  /** Sets the timing of this daemon's reads of the store by the state of the leader and the followers. */
  public updateReadTiming(nowMs: number): void {
    const { tables, server, client, leaderView } = this._context;
    const isAlive = client.isAlive(nowMs) && leaderView.forwardsChanges !== undefined;
    const liveLeader = leaderView.forwardsChanges === true ? 'current' : 'cutOff';
    const leader = isAlive ? liveLeader : 'unheard';
    const timing = readTiming({
      leader,
      hasFollowers: server.peerCount > 0,
      intervals: messageIntervals(leaderView.daemonCount),
    });
    if (leader !== this._leaderState) {
      this._leaderState = leader;
      this._log.info('Reads of the store follow the state of the leader.', { leader, ...timing });
    }
    tables.setTiming(timing);
  }

  private _apply(update: TableUpdate): void {
    const nowMs = this._clock.now().steadyMs;
    const graceMs = this._removalGraceMs(update, nowMs);
    const records = this._context.routingTables.apply(update, {
      nowMs,
      source: update.source,
      removalGraceMs: graceMs,
      ...(update.isRestored && { returnDelayMs: returnDelayMs(this._context.livenessMs) }),
    });
    if (records.length > 0) {
      const { table, era, source } = update;
      this._forward({ table, records, end: 0, whole: false, era, removalGraceMs: graceMs }, source);
      this._scheduleExpiry(graceMs);
    }
  }

  /**
   * The grace period of removed replicas. That of the followed peer is taken over, because it reads the store more often.
   * A follower's can only shorten the one of this daemon, as each shows an outage that the other might not see.
   */
  private _removalGraceMs({ source, isRestored, removalGraceMs: statedMs }: TableUpdate, nowMs: number): number {
    const ownMs = this._context.tables.removalGraceMs(nowMs, isRestored);
    if (isRestored || statedMs === undefined) {
      return ownMs;
    }
    return source === 'leader' ? statedMs : Math.min(ownMs, statedMs);
  }

  /** Ends a grace period on time: the periodic work of a daemon is up to 0.3 s apart. */
  private _scheduleExpiry(graceMs: number): void {
    if (graceMs > 0) {
      const timer = setTimeout(
        () => {
          this._context.directory.expire(this._clock.now().steadyMs);
        },
        Math.ceil(graceMs) + 1,
      );
      timer.unref();
    }
  }

  /**
   * Forwards new records to the daemons that follow this one, and records read from the store also to a leader that
   * does not reach the store.
   */
  private _forward(message: TableMessage, source: RecordSource): void {
    const { server, client, leaderView } = this._context;
    server.broadcast('table', message);
    if (source === 'store' && leaderView.forwardsChanges === false) {
      client.send('table', message);
    }
  }
}
