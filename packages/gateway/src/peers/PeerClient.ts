import * as common from '@jayhaven/common';
import * as net from 'node:net';
import type { Clock } from '../Clock.js';
import { elapsedMs } from '../leadership/Lease.js';
import type { Address, Instant } from '../Types.js';
import { PeerChannel, type PeerMessage } from './PeerChannel.js';
import { PeerChoice } from './PeerChoice.js';
import type { PeerMessages } from './Types.js';

/** A leader that is silent for this long counts as lost, milliseconds. It sends its status several times a second. */
const silenceTimeoutMs = 1_200;
/** Timeout of a connection attempt, milliseconds. */
const connectTimeoutMs = 500;
/** Least time between two connection attempts, milliseconds. */
const reconnectMs = 300;

/** The connection to the placement leader, or to one of the seeds while the leader is unknown or lost. */
export class PeerClient implements AsyncDisposable {
  private readonly _onConnected = new common.Emitter<PeerChannel>();
  /** Fires with each new connection. */
  public readonly onConnected = this._onConnected.event;
  private readonly _onMessage = new common.Emitter<PeerMessage>();
  public readonly onMessage = this._onMessage.event;
  private readonly _choice: PeerChoice;
  private _channel: PeerChannel | undefined;
  /** Socket of the connection attempt in progress. */
  private _connecting: net.Socket | undefined;
  private _nextAttemptMs = 0;
  /** When the last message was received, steady milliseconds. */
  private _lastMessageMs = Number.NEGATIVE_INFINITY;
  private _lastMessageAt: Instant | undefined;

  public constructor(
    seeds: readonly Address[],
    private readonly _clock: Clock,
    private readonly _log: common.Logger,
  ) {
    this._choice = new PeerChoice(seeds);
  }

  /**
   * True while messages have been received recently. A connection alone proves nothing: the kernel of a suspended VM
   * accepts it.
   */
  public isAlive(nowMs: number): boolean {
    return this._channel !== undefined && nowMs - this._lastMessageMs < silenceTimeoutMs;
  }

  /** True while messages have been received recently by both clocks: the steady one stops while the VM is suspended. */
  public hasHeard(now: Instant): boolean {
    const heardAt = this._lastMessageAt;
    return this._channel !== undefined && heardAt !== undefined && elapsedMs(heardAt, now) < silenceTimeoutMs;
  }

  /** Sets the address of the leader; undefined if this daemon leads. */
  public setLeader(leader: Address | undefined): void {
    const isChanged = this._choice.setLeader(leader, this._clock.now().steadyMs);
    if (isChanged || leader === undefined) {
      this._channel?.close('the leader has changed');
      this._connecting?.destroy();
      this._connecting = undefined;
      this._nextAttemptMs = 0;
    }
  }

  public send<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): void {
    this._channel?.send(method, params);
  }

  /** Closes a silent connection and reconnects if necessary. `shouldConnect` is false on the leader itself. */
  public maintainConnection(nowMs: number, shouldConnect: boolean): void {
    // The channel counts its start as the first receipt, so that a new one has time for the first message.
    if (this._channel !== undefined && nowMs - this._channel.lastReceivedMs > silenceTimeoutMs) {
      this._channel.close('the leader is silent');
    } else if (this._choice.isSubstituteExpired(nowMs)) {
      this._channel?.close('trying the leader again');
    }
    const isIdle = this._channel === undefined && this._connecting === undefined;
    if (shouldConnect && isIdle && nowMs >= this._nextAttemptMs) {
      this._nextAttemptMs = nowMs + reconnectMs;
      const address = this._choice.next(nowMs);
      if (address !== undefined) {
        this._connect(address);
      }
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
    const finishConnecting = (): void => {
      clearTimeout(timer);
      this._connecting = this._connecting === socket ? undefined : this._connecting;
    };
    socket.once('close', finishConnecting);
    // An open channel logs why it closes. A failed attempt is retried; until then `isAlive` returns false.
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      finishConnecting();
      this._useChannel(new PeerChannel(socket, this._clock), address);
    });
  }

  private _useChannel(channel: PeerChannel, address: Address): void {
    this._channel = channel;
    this._log.info('Connected to a peer.', { host: address.host, port: address.port });
    channel.onMessage((message) => {
      this._lastMessageAt = this._clock.now();
      this._lastMessageMs = this._lastMessageAt.steadyMs;
      this._choice.recordMessage(message.method === 'status' && message.params.leads, this._lastMessageMs);
      this._onMessage.fire(message);
    });
    channel.onClosed((reason) => {
      this._log.warn('Connection to the peer closed.', { host: address.host, port: address.port, reason });
      this._channel = this._channel === channel ? undefined : this._channel;
    });
    this._onConnected.fire(channel);
  }
}
