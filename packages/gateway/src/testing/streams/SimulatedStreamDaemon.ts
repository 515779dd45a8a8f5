import * as common from '@jayhaven/common';
import { systemClock } from '../../Clock.js';
import { messageIntervals } from '../../peers/messageIntervals.js';
import { encodeMessage, type PeerChannel } from '../../peers/PeerChannel.js';
import { StreamCoordinator, type StreamLinks } from '../../peers/StreamCoordinator.js';
import type { PeerMessages } from '../../peers/Types.js';
import type { Replica } from '../../Types.js';
import { type Network, SimulatedLink, type SimulatedMessage } from '../changes/SimulatedLink.js';
import { silentLogger } from '../SilentLogger.js';
import { type SimulatedStreamStore, SimulatedStreamStoreClient } from './SimulatedStreamStore.js';

/** A leader that is silent for this long counts as lost, milliseconds. */
const leaderSilenceMs = 1_200;
/** Least time between two connection attempts, milliseconds. */
const reconnectMs = 300;

/** What a daemon needs to know of its surroundings. */
export interface StreamSurroundings {
  readonly store: SimulatedStreamStore;
  readonly network: Network;
  readonly daemonCount: number;
  readonly lifetimeMs: number;
  /** The daemon that the lease names. */
  leaseHolder(): SimulatedStreamDaemon | undefined;
  /** True while the lease of a daemon is valid. */
  isLeaseValid(daemon: SimulatedStreamDaemon): boolean;
}

/** One process of a daemon, with the real coordinator of streams over simulated links and a simulated store. */
export class SimulatedStreamDaemon {
  public readonly coordinator: StreamCoordinator;
  /** The replicas that this daemon knows. */
  public replicas: readonly Replica[] = [];
  /** What the daemon is cut off from. */
  public cutOff: { readonly peers: boolean; readonly store: boolean } = { peers: false, store: false };
  /** Bytes of the messages on streams that it has sent to its leader. */
  public sentBytes = 0;
  private _state: 'running' | 'frozen' | 'ended' = 'running';
  private readonly _followers = new Set<SimulatedLink>();
  private readonly _onJoined = new common.Emitter<unknown>();
  private readonly _onConnected = new common.Emitter<unknown>();
  private readonly _onMessageOfFollower = new common.Emitter<unknown>();
  private readonly _onMessageOfLeader = new common.Emitter<unknown>();
  private _link: SimulatedLink | undefined;
  private _followed: SimulatedStreamDaemon | undefined;
  private _leads = false;
  private _lastHeardMs = Number.NEGATIVE_INFINITY;
  private _linkOpenedMs = Number.NEGATIVE_INFINITY;
  private _lastHeartbeatMs = Number.NEGATIVE_INFINITY;
  private _nextTickMs: number;
  /** What has arrived while the daemon is frozen. */
  private _held: (() => void)[] = [];

  public constructor(
    private readonly _surroundings: StreamSurroundings,
    isFirstStart: boolean,
    firstTickMs: number,
  ) {
    const { store, lifetimeMs, daemonCount } = _surroundings;
    this._nextTickMs = nowMs() + firstTickMs;
    const client = new SimulatedStreamStoreClient(
      store,
      () => this._whenRunning(),
      () => !this.cutOff.store,
    );
    this.coordinator = new StreamCoordinator(
      this._links(),
      client,
      {
        replicas: () => this.replicas,
        lifetimeMs: () => lifetimeMs,
        isFirstStart,
        holdsLease: () => _surroundings.isLeaseValid(this),
        hearsLeader: () => this.hearsLeader,
        daemonCount: () => daemonCount,
      },
      systemClock,
      silentLogger,
    );
  }

  public get isRunning(): boolean {
    return this._state === 'running';
  }

  public get hasEnded(): boolean {
    return this._state === 'ended';
  }

  public get hearsLeader(): boolean {
    return this._link !== undefined && this._leads && nowMs() - this._lastHeardMs < leaderSilenceMs;
  }

  public tickIfDue(): void {
    const { daemonCount } = this._surroundings;
    if (this.cutOff.peers) {
      for (const link of [...this._followers, ...(this._link === undefined ? [] : [this._link])]) {
        link.isSilent = true;
      }
    }
    if (this.isRunning && nowMs() >= this._nextTickMs) {
      this._nextTickMs = nowMs() + messageIntervals(daemonCount).tickMs;
      this._maintainLink();
      this._sendStatus();
      this.coordinator.tick();
    }
  }

  /** Stops all work, with open connections, as a suspended VM does. */
  public freeze(): void {
    if (this._state === 'running') {
      this._state = 'frozen';
    }
  }

  /** Goes on. What has arrived meanwhile is handled after the first requests. */
  public thaw(sendFirstRequests: () => void = () => undefined): void {
    if (this._state === 'frozen') {
      this._state = 'running';
      sendFirstRequests();
      const held = this._held;
      this._held = [];
      for (const handle of held) {
        handle();
      }
    }
  }

  /** Ends the process. */
  public end(): void {
    this._state = 'ended';
    this._link?.close();
    for (const link of [...this._followers]) {
      link.close();
    }
  }

  /** Accepts a daemon that follows this one. */
  public accept(link: SimulatedLink): void {
    const channel = channelOf(link.toFollower);
    this._followers.add(link);
    link.onClosed(() => this._followers.delete(link));
    link.onMessageToLeader((message) => {
      this._handle(() => {
        this._onMessageOfFollower.fire({ channel, message });
      });
    });
    this._handle(() => {
      this._onJoined.fire(channel);
    });
  }

  private _links(): StreamLinks {
    const links = {
      server: {
        broadcast: (method: keyof PeerMessages, params: never) => {
          for (const link of this._followers) {
            link.toFollower.send(method, params);
          }
        },
        onJoined: this._onJoined.event,
        onMessage: this._onMessageOfFollower.event,
      },
      client: {
        send: (method: keyof PeerMessages, params: never) => {
          if (this._link !== undefined) {
            this.sentBytes += Buffer.byteLength(encodeMessage(method, params)) + 1;
            this._link.toLeader.send(method, params);
          }
        },
        onConnected: this._onConnected.event,
        onMessage: this._onMessageOfLeader.event,
      },
    };
    return links as unknown as StreamLinks;
  }

  private _sendStatus(): void {
    const { daemonCount } = this._surroundings;
    if (nowMs() - this._lastHeartbeatMs < messageIntervals(daemonCount).heartbeatMs) {
      return;
    }
    this._lastHeartbeatMs = nowMs();
    const leads = this._surroundings.isLeaseValid(this);
    for (const link of this._followers) {
      link.toFollower.send('status', { leads } as PeerMessages['status']);
    }
  }

  private _maintainLink(): void {
    const leader = this._surroundings.leaseHolder();
    const isSilent = nowMs() - Math.max(this._lastHeardMs, this._linkOpenedMs) > leaderSilenceMs;
    if (this._link !== undefined && (isSilent || leader !== this._followed)) {
      this._link.close();
    }
    const isReached = !this.cutOff.peers && leader?.cutOff.peers === false;
    const isConnectable = isReached && leader !== this && !leader.hasEnded;
    if (this._link === undefined && isConnectable && nowMs() - this._linkOpenedMs >= reconnectMs) {
      this._connect(leader);
    }
  }

  private _connect(leader: SimulatedStreamDaemon): void {
    const link = new SimulatedLink(this._surroundings.network);
    this._link = link;
    this._followed = leader;
    this._linkOpenedMs = nowMs();
    this._leads = false;
    link.onClosed(() => {
      this._link = this._link === link ? undefined : this._link;
    });
    link.onMessageToFollower((message) => {
      this._handle(() => {
        this._receive(link, message);
      });
    });
    leader.accept(link);
    this._onConnected.fire(channelOf(link.toLeader));
  }

  private _receive(link: SimulatedLink, message: SimulatedMessage): void {
    if (this._link !== link) {
      return;
    }
    this._lastHeardMs = nowMs();
    if (message.method === 'status') {
      this._leads = (message.params as PeerMessages['status']).leads;
    } else {
      this._onMessageOfLeader.fire(message);
    }
  }

  /** Handles what arrives, or holds it while the daemon is frozen. */
  private _handle(handle: () => void): void {
    if (this._state === 'running') {
      handle();
    } else if (this._state === 'frozen') {
      this._held.push(handle);
    }
  }

  private async _whenRunning(): Promise<void> {
    if (this._state !== 'running') {
      await new Promise<void>((resolve) => {
        if (this._state === 'frozen') {
          this._held.push(resolve);
        }
      });
    }
  }
}

/** The sending side of a channel. */
function channelOf(end: SimulatedLink['toLeader']): Pick<PeerChannel, 'send'> {
  return {
    send: (method, params) => {
      end.send(method, params);
    },
  };
}

function nowMs(): number {
  return systemClock.now().steadyMs;
}
