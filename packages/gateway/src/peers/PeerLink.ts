import * as common from '@jayhaven/common';
import * as net from 'node:net';
import type { Clock } from '../Clock.js';
import type { Address } from '../Types.js';
import { PeerChannel, type PeerMessage } from './PeerChannel.js';
import type { PeerMessages } from './Types.js';

/** A leader that is silent for this long counts as lost, milliseconds. It sends its status several times a second. */
const silenceLimitMs = 1_200;
/** Longest time to connect, milliseconds. */
const connectTimeoutMs = 500;
/** Pause before another attempt to connect, milliseconds. */
const reconnectMs = 300;

/** The connection to the placement leader, or to any daemon that is known while the leader is not. */
export class PeerLink implements AsyncDisposable {
  private readonly _onConnected = new common.Emitter<PeerChannel>();
  /** Fires with each new connection. */
  public readonly onConnected = this._onConnected.event;
  private readonly _onMessage = new common.Emitter<PeerMessage>();
  public readonly onMessage = this._onMessage.event;
  private _leader: Address | undefined;
  private _channel: PeerChannel | undefined;
  /** Connection under way. */
  private _connecting: net.Socket | undefined;
  private _nextAttemptMs = 0;
  private _nextSeed = 0;
  /** When a message came last, steady milliseconds. */
  private _heardMs = Number.NEGATIVE_INFINITY;

  public constructor(
    private readonly _seeds: readonly Address[],
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {}

  /**
   * True while the leader has been heard recently. A connection alone proves nothing: the kernel of a suspended VM
   * accepts it.
   */
  public isHeard(nowMs: number): boolean {
    return this._channel !== undefined && nowMs - this._heardMs < silenceLimitMs;
  }

  /** Sets where the leader is; undefined if this daemon leads. */
  public follow(leader: Address | undefined): void {
    const same = leader?.host === this._leader?.host && leader?.port === this._leader?.port;
    this._leader = leader;
    if (!same || leader === undefined) {
      this._channel?.close('another leader');
      this._connecting?.destroy();
      this._connecting = undefined;
      this._nextAttemptMs = 0;
    }
  }

  public send<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): void {
    this._channel?.send(method, params);
  }

  /** Drops a silent connection and connects anew where needed. `wanted` is false on the leader itself. */
  public keepUp(nowMs: number, wanted: boolean): void {
    // The channel counts as heard from its start, so that a new one has time for the first message.
    if (this._channel !== undefined && nowMs - this._channel.lastHeardMs > silenceLimitMs) {
      this._channel.close('the leader is silent');
    }
    const address = this._leader ?? this._seeds[this._nextSeed % Math.max(this._seeds.length, 1)];
    const isIdle = this._channel === undefined && this._connecting === undefined;
    if (wanted && isIdle && address !== undefined && nowMs >= this._nextAttemptMs) {
      this._nextSeed += 1;
      this._nextAttemptMs = nowMs + reconnectMs;
      this._connect(address);
    }
  }

  public [Symbol.asyncDispose](): Promise<void> {
    this._connecting?.destroy();
    this._channel?.close('this daemon stops');
    return Promise.resolve();
  }

  private _connect(address: Address): void {
    const socket = net.connect(address.port, address.host);
    this._connecting = socket;
    const timer = setTimeout(() => {
      socket.destroy(new Error('connection timed out'));
    }, connectTimeoutMs);
    const end = (): void => {
      clearTimeout(timer);
      this._connecting = this._connecting === socket ? undefined : this._connecting;
    };
    socket.once('close', end);
    // The channel logs why it closes; a failed attempt is retried and shows as a leader that is not heard.
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      end();
      this._adopt(new PeerChannel(socket, this._clock), address);
    });
  }

  private _adopt(channel: PeerChannel, address: Address): void {
    this._channel = channel;
    this._log.info('Connected to a peer.', { host: address.host, port: address.port });
    channel.onMessage((message) => {
      this._heardMs = this._clock.now().steadyMs;
      this._onMessage.fire(message);
    });
    channel.onClosed((reason) => {
      this._log.warn('Lost the peer.', { host: address.host, port: address.port, reason });
      this._channel = this._channel === channel ? undefined : this._channel;
    });
    this._onConnected.fire(channel);
  }
}
