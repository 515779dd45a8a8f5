import * as common from '@jayhaven/common';
import type { PeerMessages } from '../../peers/Types.js';

/** A message on its way. */
export interface SimulatedMessage {
  readonly method: keyof PeerMessages;
  readonly params: unknown;
}

/** Accepts connections. */
export interface LinkAcceptor {
  accept(link: SimulatedLink): void;
}

/** Hands messages over at the end of a step of the simulation, since a timer for each would take most of its time. */
export class Network {
  private _pending: (() => void)[] = [];
  private readonly _acceptors = new Map<string, LinkAcceptor>();
  private readonly _counts = new Map<keyof PeerMessages, number>();

  public queue(method: keyof PeerMessages, deliver: () => void): void {
    this._counts.set(method, this.count(method) + 1);
    this._pending.push(deliver);
  }

  /** Number of messages of a kind that were sent. */
  public count(method: keyof PeerMessages): number {
    return this._counts.get(method) ?? 0;
  }

  /** Sets who accepts connections at an address; undefined if nobody does. */
  public listen(address: string, acceptor: LinkAcceptor | undefined): void {
    if (acceptor === undefined) {
      this._acceptors.delete(address);
    } else {
      this._acceptors.set(address, acceptor);
    }
  }

  /** Opens a connection; undefined if nobody accepts it. */
  public connect(address: string): SimulatedLink | undefined {
    const acceptor = this._acceptors.get(address);
    if (acceptor === undefined) {
      return undefined;
    }
    const link = new SimulatedLink(this);
    acceptor.accept(link);
    return link;
  }

  public deliver(): void {
    const due = this._pending;
    this._pending = [];
    for (const deliver of due) {
      deliver();
    }
  }
}

/** The sending end of a direction of a link. */
export interface SendingEnd {
  send<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): void;
}

/** A connection between a gateway and the one that it follows. Messages arrive in order. */
export class SimulatedLink {
  /** True if no more messages arrive although the connection stays open. */
  public isSilent = false;
  private _isClosed = false;
  private readonly _onClosed = new common.Emitter<void>();
  public readonly onClosed = this._onClosed.event;
  private readonly _onMessageToLeader = new common.Emitter<SimulatedMessage>();
  public readonly onMessageToLeader = this._onMessageToLeader.event;
  private readonly _onMessageToFollower = new common.Emitter<SimulatedMessage>();
  public readonly onMessageToFollower = this._onMessageToFollower.event;
  public readonly toLeader: SendingEnd = this._sendingEnd(this._onMessageToLeader);
  public readonly toFollower: SendingEnd = this._sendingEnd(this._onMessageToFollower);

  public constructor(private readonly _network: Network) {}

  public close(): void {
    if (!this._isClosed) {
      this._isClosed = true;
      this._onClosed.fire();
    }
  }

  private _sendingEnd(emitter: common.Emitter<SimulatedMessage>): SendingEnd {
    return {
      send: (method, params) => {
        this._network.queue(method, () => {
          if (!this._isClosed && !this.isSilent) {
            emitter.fire({ method, params });
          }
        });
      },
    };
  }
}
