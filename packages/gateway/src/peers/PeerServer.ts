import * as common from '@jayhaven/common';
import * as net from 'node:net';
import type { Clock } from '../Clock.js';
import type { Address } from '../Types.js';
import { encodeMessage, PeerChannel, type PeerMessage } from './PeerChannel.js';
import type { PeerMessages } from './Types.js';

/** A message with the channel of the peer that sent it. */
export interface ReceivedMessage {
  readonly channel: PeerChannel;
  readonly message: PeerMessage;
}

/** A peer that sends nothing for this long counts as gone, milliseconds. Daemons report at least once a second. */
const silenceTimeoutMs = 3_000;

/** Characters of unfinished messages that all peers together may have sent. */
const maximumPendingLength = 16 * 1024 * 1024;
/**
 * The same for clients without a first message. First messages of daemons are below 1 MB; with 16 Mi, the garbage of 200
 * clients that send 2 MB each took the process to 225 MB.
 */
const maximumUnidentifiedLength = 4 * 1024 * 1024;

/** Limits for clients of the peer port, which need not be daemons. */
export interface PeerServerLimits {
  readonly maximumConnections: number;
  /** Called when a connection is closed because of a limit. */
  readonly onEnforced: (limit: 'peerConnections' | 'peerMemory' | 'peerMessage' | 'acceptFailed') => void;
}

const unlimited: PeerServerLimits = { maximumConnections: Number.POSITIVE_INFINITY, onEnforced: () => undefined };

/** Accepts connections of the daemons that follow this one, sends them messages, and receives theirs. */
export class PeerServer implements AsyncDisposable {
  private readonly _channels = new Set<PeerChannel>();
  private readonly _onJoined = new common.Emitter<PeerChannel>();
  public readonly onJoined = this._onJoined.event;
  private readonly _onLeft = new common.Emitter<PeerChannel>();
  public readonly onLeft = this._onLeft.event;
  private readonly _onMessage = new common.Emitter<ReceivedMessage>();
  public readonly onMessage = this._onMessage.event;
  private readonly _server: net.Server;
  private _nextPeerIndex = 0;
  private _pendingLength = 0;
  /** Part of `_pendingLength` of clients without a first message. */
  private _unidentifiedLength = 0;

  public constructor(
    private readonly _address: Address,
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
    private readonly _limits = unlimited,
  ) {
    this._server = net.createServer((socket) => {
      this._accept(socket);
    });
  }

  public async open(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject);
      this._server.listen(this._address.port, this._address.host, resolve);
    });
    // Accepting fails while there are no descriptors left; later connections are accepted again.
    this._server.on('error', () => {
      this._limits.onEnforced('acceptFailed');
    });
  }

  /** Bound port. */
  public get port(): number {
    return (this._server.address() as net.AddressInfo).port;
  }

  /** Number of connected daemons. */
  public get peerCount(): number {
    return this._channels.size;
  }

  public broadcast<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): void {
    if (this._channels.size === 0) {
      return;
    }
    const line = encodeMessage(method, params);
    for (const channel of this._channels) {
      channel.sendEncoded(line);
    }
  }

  /** Sends a message to one peer, chosen in round-robin order; false if no peer is connected. */
  public sendToNextPeer<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): boolean {
    const channels = [...this._channels];
    const channel = channels[this._nextPeerIndex % Math.max(channels.length, 1)];
    this._nextPeerIndex += 1;
    channel?.send(method, params);
    return channel !== undefined;
  }

  /** Closes channels whose peer has sent nothing, or no first message, within the silence timeout. */
  public closeSilentChannels(nowMs: number): void {
    for (const channel of this._channels) {
      const sinceMs = channel.isIdentified ? channel.lastReceivedMs : channel.openedMs;
      if (nowMs - sinceMs > silenceTimeoutMs) {
        channel.close('the peer is silent');
      }
    }
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    for (const channel of this._channels) {
      channel.close('this daemon stops');
    }
    await new Promise((resolve) => this._server.close(resolve));
  }

  private _accept(socket: net.Socket): void {
    if (this._channels.size >= this._limits.maximumConnections && !this._closeUnidentified()) {
      this._limits.onEnforced('peerConnections');
      socket.destroy();
      return;
    }
    const channel = new PeerChannel(socket, this._clock);
    this._channels.add(channel);
    channel.onPending((change) => {
      this._countPending(channel, change);
    });
    channel.onInvalid(() => {
      this._limits.onEnforced('peerMessage');
    });
    channel.onMessage((message) => {
      this._onMessage.fire({ channel, message });
    });
    channel.onClosed((reason) => {
      this._channels.delete(channel);
      this._onLeft.fire(channel);
      if (channel.isIdentified) {
        this._log.info('Peer disconnected.', { address: socket.remoteAddress, reason, peers: this._channels.size });
      }
    });
    this._onJoined.fire(channel);
  }

  /** Closes the oldest channel without a message so far, which may be of any client; false if there is none. */
  private _closeUnidentified(): boolean {
    for (const channel of this._channels) {
      if (!channel.isIdentified) {
        this._limits.onEnforced('peerConnections');
        this._channels.delete(channel);
        channel.close('there are too many connections');
        return true;
      }
    }
    return false;
  }

  /** Counts characters of unfinished messages; above a limit, the channels that hold most are closed. */
  private _countPending({ isIdentified }: PeerChannel, change: number): void {
    this._pendingLength += change;
    this._unidentifiedLength += isIdentified ? 0 : change;
    while (this._unidentifiedLength > maximumUnidentifiedLength && this._closeLongest(false)) {
      // The length is counted as the channel closes.
    }
    while (this._pendingLength > maximumPendingLength && this._closeLongest(true)) {
      // As above.
    }
  }

  /** Closes the channel with the longest unfinished message; false if there is none. */
  private _closeLongest(includesIdentified: boolean): boolean {
    let longest: PeerChannel | undefined;
    for (const channel of this._channels) {
      if (includesIdentified || !channel.isIdentified) {
        longest = channel.pendingLength > (longest?.pendingLength ?? 0) ? channel : longest;
      }
    }
    if (longest !== undefined) {
      this._limits.onEnforced('peerMemory');
      longest.close('unfinished messages take too much memory');
    }
    return longest !== undefined;
  }
}
