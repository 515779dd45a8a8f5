import type { LeaseStoreMessages } from '../leadership/LeaseStore.js';
import type { ReplicaDirectory } from '../replicas/ReplicaDirectory.js';
import type { StoreTables } from '../replicas/StoreTables.js';
import type { LeaderMessages } from './LeaderMessages.js';
import type { PeerMessage } from './PeerChannel.js';
import type { PeerClient } from './PeerClient.js';
import type { PeerServer, ReceivedMessage } from './PeerServer.js';
import type { LeaderStatus, LeavingMessage, ReadyEstimate } from './Types.js';

/** The components that messages of peers concern. */
export interface MessageTargets {
  readonly server: PeerServer;
  readonly client: PeerClient;
  readonly tables: StoreTables;
  readonly directory: ReplicaDirectory;
  readonly leaseStore: LeaseStoreMessages;
  readonly leaderMessages: LeaderMessages;
  applyStatus(status: LeaderStatus): void;
  applyLoads(running: ReadonlyMap<string, number>): void;
  applyEstimates(estimates: readonly ReadyEstimate[]): void;
}

/** Applies what peers send, but for messages on rate limits and crashes, which have coordinators of their own. */
export class MessageReceiver {
  public constructor(private readonly _targets: MessageTargets) {
    _targets.server.onMessage((received) => {
      this._receiveFromFollower(received);
    });
    _targets.server.onJoined((channel) => {
      for (const leaving of _targets.directory.leavingReplicas()) {
        channel.send('leaving', leaving);
      }
    });
    _targets.client.onMessage((message) => {
      this._receiveFromLeader(message);
    });
    _targets.client.onConnected((channel) => {
      _targets.tables.followPeer(channel);
    });
  }

  /** Takes a replica that has announced that it is leaving out of use, and notifies the peers. */
  public markLeaving(message: LeavingMessage): void {
    const { directory, server, client } = this._targets;
    if (directory.markLeaving(message.replicaId, message.bornMs)) {
      server.broadcast('leaving', message);
      client.send('leaving', message);
    }
  }

  private _receiveFromLeader(message: PeerMessage): void {
    const { tables, directory, leaseStore, client } = this._targets;
    if (message.method === 'table') {
      tables.applyFromFollowedPeer(message.params);
    } else if (message.method === 'holdings') {
      for (const holdings of message.params.replicas) {
        directory.applyHoldings(holdings);
      }
    } else if (message.method === 'status') {
      this._targets.applyStatus(message.params);
    } else if (message.method === 'loads') {
      this._targets.applyLoads(new Map(Object.entries(message.params.running)));
    } else if (message.method === 'estimates') {
      this._targets.applyEstimates(message.params.estimates);
    } else if (message.method === 'leaving') {
      this.markLeaving(message.params);
    } else if (message.method === 'leaseCall') {
      void leaseStore.serve(message.params).then((reply) => {
        client.send('leaseReply', reply);
      });
    }
  }

  private _receiveFromFollower({ channel, message }: ReceivedMessage): void {
    const { tables, leaderMessages, leaseStore } = this._targets;
    if (message.method === 'report') {
      leaderMessages.applyReport(channel, message.params);
    } else if (message.method === 'known') {
      tables.sendMissingRecords(channel, message.params);
    } else if (message.method === 'table') {
      tables.applyFromFollower(message.params);
    } else if (message.method === 'storeRead') {
      tables.recordPeerRead();
    } else if (message.method === 'leaving') {
      this.markLeaving(message.params);
    } else if (message.method === 'leaseReply') {
      leaseStore.applyReply(message.params);
    }
  }
}
