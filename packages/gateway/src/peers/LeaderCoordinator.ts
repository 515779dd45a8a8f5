import type * as common from '@jayhaven/common';
import type { KnownLeader } from '../leadership/KnownLeader.js';
import type { PeerChannel, PeerMessage } from './PeerChannel.js';
import type { PeerServer } from './PeerServer.js';

type FollowerChannel = Pick<PeerChannel, 'send'>;
type Listen<Event> = (listener: (event: Event) => void) => common.Unsubscribe;

/** The connections over which daemons tell each other who leads. */
export interface LeaderCoordinatorPeers {
  readonly server: Pick<PeerServer, 'broadcast'> & {
    readonly onJoined: Listen<FollowerChannel>;
    readonly onMessage: Listen<{ readonly channel: FollowerChannel; readonly message: PeerMessage }>;
  };
  readonly client: { readonly onMessage: Listen<PeerMessage> };
}

/** Exchanges with the peers who leads, since daemons that the store refuses learn it only from them. */
export class LeaderCoordinator {
  public constructor(
    private readonly _knownLeader: KnownLeader,
    { server, client }: LeaderCoordinatorPeers,
  ) {
    _knownLeader.onChanged((leader) => {
      // The followers of a leader know it from its status.
      if (!_knownLeader.isSelf) {
        server.broadcast('leader', leader);
      }
    });
    server.onJoined((channel) => {
      if (!_knownLeader.isSelf) {
        this._tell(channel);
      }
    });
    server.onMessage(({ channel, message }) => {
      if (message.method === 'leader') {
        _knownLeader.learnFromPeer(message.params);
        this._tell(channel);
      }
    });
    client.onMessage((message) => {
      if (message.method === 'leader') {
        _knownLeader.learnFromPeer(message.params);
      }
    });
  }

  private _tell(channel: FollowerChannel): void {
    const { current } = this._knownLeader;
    if (current !== undefined) {
      channel.send('leader', current);
    }
  }
}
