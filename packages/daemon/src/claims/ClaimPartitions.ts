import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import type { SequenceCounter } from '../log/AppendQueue.js';
import type { LogClient } from '../log/LogClient.js';
import type { LogHealth } from '../log/LogHealth.js';
import { SnapshotKeeper } from '../log/SnapshotKeeper.js';
import { TopicReplica } from '../log/TopicReplica.js';
import type { PeerSource, ReplicaContext, TopicRules } from '../log/Types.js';
import type { DaemonContext, Peers } from '../Types.js';
import { holdersOf } from './partitions.js';

/** Number of members that replay a partition: its holder and the member that would take over from it. */
const replayingMemberCount = 2;
const reviewIntervalMs = 1000;
/** Time after its last use at which a partition of another holder is closed. */
const idleCloseMs = 60_000;
/** Time for which this daemon still replays a partition after it has lost its rank; ranks may fluctuate. */
const keepAfterRankLossMs = 10_000;

/** Replica of one claims topic. */
export type ClaimReplica = TopicReplica<decisions.ClaimRecordBody, decisions.ClaimsState>;

interface OpenPartition {
  readonly replica: ClaimReplica;
  readonly keeper: SnapshotKeeper;
  readonly caughtUp: Promise<boolean>;
  /** Earliest time at which the partition may be closed. */
  keepUntilMs: number;
}

/** No claim is decided during an outage of the log, so claims topics are never read from peers. */
const noPeers: PeerSource = {
  recordsAfter: () => Promise.resolve(undefined),
  state: () => Promise.resolve(undefined),
};

/** The claims topics that this daemon replays. */
export class ClaimPartitions extends common.Task<'review'> {
  private readonly _open = new Map<number, OpenPartition>();
  private readonly _sequences = new Map<number, SequenceCounter>();
  private readonly _logger: common.Logger;
  private _stopped = false;

  public constructor(
    private readonly _context: DaemonContext,
    private readonly _replicaContext: ReplicaContext,
    private readonly _client: LogClient,
    private readonly _health: LogHealth,
    private readonly _peers: Peers,
    /** Whether this daemon's `daemonJoined` record is in force; before that the other members may be unknown. */
    private readonly _isJoined: () => boolean,
  ) {
    super();
    this._logger = _context.logger.child('claims');
    this.post('review');
    this.postEvery(reviewIntervalMs, () => 'review');
  }

  /** Returns a partition's replica once it has caught up with the log after opening; undefined on a timeout. */
  public async caughtUpReplica(partition: number, timeoutMs: number): Promise<ClaimReplica | undefined> {
    if (this._stopped) {
      return undefined;
    }
    const open = this._open.get(partition) ?? this._openPartition(partition);
    extendKeep(open, this._context.now() + idleCloseMs);
    const caughtUp = await Promise.race([open.caughtUp, delay(timeoutMs)]);
    return caughtUp ? open.replica : undefined;
  }

  public override async [Symbol.asyncDispose](): Promise<void> {
    this._stopped = true;
    await super[Symbol.asyncDispose]();
    await Promise.all([...this._open.keys()].map((partition) => this._close(partition)));
  }

  protected override handle(): void {
    if (this._stopped || !this._isJoined()) {
      return;
    }
    const nowMs = this._context.now();
    for (let partition = 0; partition < this._context.settings.platform.claimPartitions; partition += 1) {
      const rank = this._rank(partition);
      const open = this._open.get(partition);
      if (rank >= 0 && rank < replayingMemberCount) {
        extendKeep(open ?? this._openPartition(partition), nowMs + keepAfterRankLossMs);
      } else if (open && nowMs > open.keepUntilMs) {
        void this._close(partition);
      }
      open?.replica.compact((state) => this._dropExpired(state));
    }
  }

  private _rank(partition: number): number {
    return holdersOf(partition, this._peers.members).indexOf(this._replicaContext.incarnation);
  }

  private _dropExpired(state: decisions.ClaimsState): decisions.ClaimsState {
    return decisions.dropExpiredClaims(
      state,
      this._context.wallNow(),
      this._context.settings.limits.idempotencyWindowMs,
    );
  }

  private _openPartition(partition: number): OpenPartition {
    const { platform, limits } = this._context.settings;
    const sequence = this._sequences.get(partition) ?? { last: 0 };
    this._sequences.set(partition, sequence);
    const replica: ClaimReplica = new TopicReplica(this._replicaContext, {
      topic: `${platform.topicPrefix}claims-${partition}`,
      rules: claimRules(limits.idempotencyWindowMs),
      client: this._client,
      health: this._health,
      peers: noPeers,
      timeoutMs: platform.logTimeoutMs,
      sequence,
    });
    const keeper = new SnapshotKeeper({
      source: replica,
      retentionMs: platform.logRetentionMs,
      now: this._context.now,
      wallNow: this._context.wallNow,
      rank: () => this._rank(partition),
      logger: this._logger,
    });
    const caughtUp = this._catchUp(replica);
    const open: OpenPartition = { replica, keeper, caughtUp, keepUntilMs: 0 };
    this._open.set(partition, open);
    return open;
  }

  /** Retries until the replica has caught up once or this object is disposed. */
  private async _catchUp(replica: ClaimReplica): Promise<boolean> {
    const { logTimeoutMs } = this._context.settings.platform;
    while (!this._stopped) {
      if (await replica.catchUp(logTimeoutMs)) {
        return true;
      }
      await delay(reviewIntervalMs);
    }
    return false;
  }

  private async _close(partition: number): Promise<void> {
    const open = this._open.get(partition);
    this._open.delete(partition);
    await open?.keeper[Symbol.asyncDispose]();
    await open?.replica[Symbol.asyncDispose]();
  }
}

function extendKeep(open: OpenPartition, untilMs: number): void {
  open.keepUntilMs = Math.max(open.keepUntilMs, untilMs);
}

function claimRules(windowMs: number): TopicRules<decisions.ClaimRecordBody, decisions.ClaimsState> {
  return {
    empty: decisions.emptyClaimsState(windowMs),
    parse: (value) => {
      const parsed = decisions.parseClaimRecord(value);
      return parsed.ok ? parsed.value : undefined;
    },
    replay: (state, record) => decisions.replayClaim(state, record),
    encode: (state) => decisions.encodeClaims(state),
    decode: (value) => {
      const decoded = decisions.decodeClaims(value);
      return decoded.ok ? decoded.value : undefined;
    },
  };
}

function delay(milliseconds: number): Promise<false> {
  return new Promise((resolve) => {
    setTimeout(() => {
      resolve(false);
    }, milliseconds).unref();
  });
}
