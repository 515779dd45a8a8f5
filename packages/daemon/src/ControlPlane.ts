import { randomBytes } from 'node:crypto';
import * as common from '@jayhaven/common';
import * as decisions from '@jayhaven/decisions';
import * as zod from 'zod';
import { ClaimHolder } from './claims/ClaimHolder.js';
import { ClaimPartitions } from './claims/ClaimPartitions.js';
import { ClaimsRouter } from './claims/ClaimsRouter.js';
import { ControlLogReplica, controlRules, type ControlReplica } from './log/ControlLogReplica.js';
import { ControlPeerSource } from './log/ControlPeerSource.js';
import type { LogClient } from './log/LogClient.js';
import { LimitsKeeper } from './log/LimitsKeeper.js';
import { LogHealth } from './log/LogHealth.js';
import { OutageRecorder } from './log/OutageRecorder.js';
import { RestLogClient } from './log/RestLogClient.js';
import { SnapshotKeeper } from './log/SnapshotKeeper.js';
import { TopicReplica } from './log/TopicReplica.js';
import type { ReplicaContext } from './log/Types.js';
import { GoneReporter } from './peers/GoneReporter.js';
import { Heartbeats } from './peers/Heartbeats.js';
import { Membership } from './peers/Membership.js';
import { PeerGroup } from './peers/PeerGroup.js';
import { PeerOffsets } from './peers/PeerOffsets.js';
import type { ControlPlane, DaemonContext } from './Types.js';

/** Longest time that a peer may make this daemon wait for records, milliseconds. */
const longestPeerWaitMs = 1000;

/** Names the topic, so that a daemon never takes the records of another cell from a wrong seed. */
function recordSchemas(topic: string): {
  readonly recordsAfter: zod.ZodType<{ readonly offset: number; readonly waitMs: number }>;
  readonly state: zod.ZodType;
} {
  const named = zod.literal(topic);
  return {
    recordsAfter: zod.object({ topic: named, offset: zod.number(), waitMs: zod.number().max(longestPeerWaitMs) }),
    state: zod.object({ topic: named }),
  };
}

/** Opens the replayed log, the daemon group and the claims. Rejects when the peers' address cannot be bound. */
export async function openControlPlane(
  context: DaemonContext,
  client: LogClient = new RestLogClient(context.settings.platform.logUrl),
): Promise<ControlPlane> {
  const { settings } = context;
  const incarnation = `${settings.daemon.name}#${randomBytes(6).toString('hex')}`;
  const { clock, now, wallNow } = context;
  const logger = context.logger.child('log');
  const replicaContext: ReplicaContext = { incarnation, logger, clock, now, wallNow };
  const closing = new common.DisposalRegistry();
  closing.register(client);
  const health = new LogHealth(now);
  const group = closing.register(new PeerGroup(context, incarnation));
  try {
    await group.listen();
  } catch (error) {
    await closing[Symbol.asyncDispose]();
    throw error;
  }

  const topic = `${settings.platform.topicPrefix}control`;
  const offsets = new PeerOffsets();
  const source = new ControlPeerSource(group, offsets, () => heartbeats.contactSeeds());
  const replica: ControlReplica = new TopicReplica(replicaContext, {
    topic,
    rules: controlRules(),
    client,
    health,
    peers: source,
    timeoutMs: settings.platform.logTimeoutMs,
  });
  serveRecords(group, replica, topic);
  const log = new ControlLogReplica(incarnation, replica);
  const heartbeats = new Heartbeats(context, incarnation, group, offsets, {
    get appliedOffset() {
      return replica.nextOffset - 1;
    },
    get isCurrent() {
      return replica.isReadingFromLog;
    },
    get isJoined() {
      return log.joined;
    },
    noteOffset: (offset) => {
      replica.noteOffset(offset);
    },
  });
  closing.register(heartbeats);
  closing.register(replica);
  const membership = closing.register(new Membership(context, log, replica, group));
  closing.register(new OutageRecorder(context, replica));
  const limits = closing.register(new LimitsKeeper(context, log));
  closing.register(new GoneReporter(context, log, group));
  closing.register(
    new SnapshotKeeper({
      source: replica,
      retentionMs: settings.platform.logRetentionMs,
      now,
      wallNow,
      rank: () => rankOf('control/snapshots', group, incarnation),
      logger,
    }),
  );
  const partitions = closing.register(
    new ClaimPartitions(context, replicaContext, client, health, group, () => log.joined),
  );
  new ClaimHolder(context, partitions, replica, group);
  const claims = closing.register(
    new ClaimsRouter(context, group, () => log.state.daemons.get(incarnation)?.state === 'joined'),
  );
  await membership.waitUntilOpened(settings.platform.logTimeoutMs);
  await limits.opened(settings.platform.logTimeoutMs);
  return {
    incarnation,
    log,
    peers: group,
    claims,
    onRemoved: membership.onRemoved,
    leave: async () => {
      await membership.leave();
      heartbeats.stop();
    },
    [Symbol.asyncDispose]: () => closing[Symbol.asyncDispose](),
  };
}

function serveRecords(group: PeerGroup, replica: ControlReplica, topic: string): void {
  const schemas = recordSchemas(topic);
  group.handle('log.recordsAfter', (parameters) => {
    const { offset, waitMs } = schemas.recordsAfter.parse(parameters);
    return replica.recordsAfter(offset, waitMs);
  });
  group.handle('log.state', (parameters) => {
    schemas.state.parse(parameters);
    return Promise.resolve(replica.image());
  });
}

/** Place of this daemon among the live members for a key. */
function rankOf(key: string, group: PeerGroup, incarnation: common.Incarnation): number {
  const live = group.members.filter((member) => !member.suspected).map((member) => member.incarnation);
  return decisions.rankByRendezvous(key, live).indexOf(incarnation);
}
