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
import { LogHealth } from './log/LogHealth.js';
import { RestLogClient } from './log/RestLogClient.js';
import { SnapshotKeeper } from './log/SnapshotKeeper.js';
import { TopicReplica } from './log/TopicReplica.js';
import type { ReplicaContext } from './log/Types.js';
import { GoneReporter } from './peers/GoneReporter.js';
import { Heartbeats } from './peers/Heartbeats.js';
import { Membership } from './peers/Membership.js';
import { PeerGroup } from './peers/PeerGroup.js';
import { PeerOffsets } from './peers/PeerOffsets.js';
import type { ControlPlane, DaemonContext, DaemonSettings } from './Types.js';

/** Longest time that a peer may make this daemon wait for records, milliseconds. */
const longestPeerWaitMs = 1000;
const recordsAfterSchema = zod.object({ offset: zod.number(), waitMs: zod.number().max(longestPeerWaitMs) });

/** Opens the replayed log, the daemon group and the claims. Rejects when the peers' address cannot be bound. */
export async function openControlPlane(
  context: DaemonContext,
  client: LogClient = new RestLogClient(context.settings.platform.logUrl),
): Promise<ControlPlane> {
  const { settings } = context;
  const incarnation = `${settings.daemon.name}#${randomBytes(6).toString('hex')}`;
  const { clock, now, wallNow } = context;
  const logger = context.logger.part('log');
  const replicaContext: ReplicaContext = { incarnation, logger, clock, now, wallNow };
  const closing = new common.DisposalRegistry();
  closing.register(client);
  const health = new LogHealth(now);
  const group = closing.register(new PeerGroup(context, incarnation));
  await group.listen();

  const offsets = new PeerOffsets();
  const source = new ControlPeerSource(group, offsets, () => heartbeats.askSeeds());
  const replica: ControlReplica = new TopicReplica(replicaContext, {
    topic: `${settings.platform.topicPrefix}control`,
    rules: controlRules(limitsOf(settings)),
    client,
    health,
    peers: source,
    timeoutMs: settings.platform.logTimeoutMs,
  });
  serveRecords(group, replica);
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
  closing.register(new GoneReporter(context, log, group));
  closing.register(
    new SnapshotKeeper({
      source: replica,
      retentionMs: settings.platform.logRetentionMs,
      now,
      wallNow,
      isWriter: () => isFirst('control/snapshots', group, incarnation),
      logger,
    }),
  );
  const partitions = closing.register(
    new ClaimPartitions(context, replicaContext, client, health, group, () => log.joined),
  );
  new ClaimHolder(context, partitions, replica, group);
  const claims = closing.register(new ClaimsRouter(context, group, () => log.joined));
  await membership.opened(settings.platform.logTimeoutMs);
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

function limitsOf(settings: DaemonSettings): decisions.ControlLimits {
  const { maximumConcurrentLoads, maximumAdaptersInTransit } = settings.owner;
  return { maximumConcurrentLoads, maximumAdaptersInTransit, partners: settings.partners };
}

function serveRecords(group: PeerGroup, replica: ControlReplica): void {
  group.handle('log.recordsAfter', (parameters) => {
    const { offset, waitMs } = recordsAfterSchema.parse(parameters);
    return replica.recordsAfter(offset, waitMs);
  });
  group.handle('log.state', () => Promise.resolve(replica.image()));
}

function isFirst(key: string, group: PeerGroup, incarnation: common.Incarnation): boolean {
  const live = group.members.filter((member) => !member.suspected).map((member) => member.incarnation);
  return decisions.rankByRendezvous(key, live)[0] === incarnation;
}
