import * as common from '@jayhaven/common';
import * as rpc from 'json-rpc-2.0';
import type * as net from 'node:net';
import type { Clock } from '../Clock.js';
import type { PeerMessages } from './Types.js';

/** Unsent bytes above which a peer counts as too slow or gone and its connection is closed. */
const maximumUnsentBytes = 8 * 1024 * 1024;
/** Longest message that a peer may send, characters. */
const maximumLineLength = 8 * 1024 * 1024;

/** A message of a peer. */
export type PeerMessage = {
  readonly [Method in keyof PeerMessages]: { readonly method: Method; readonly params: PeerMessages[Method] };
}[keyof PeerMessages];

/** The methods of all messages. The type makes sure that none is missing, since messages of other methods are ignored. */
const methods: Readonly<Record<keyof PeerMessages, true>> = {
  report: true,
  known: true,
  table: true,
  storeRead: true,
  holdings: true,
  status: true,
  loads: true,
  speeds: true,
  estimates: true,
  leaving: true,
  rateLimits: true,
  permits: true,
  quotaAsk: true,
  quotaAnswer: true,
  crash: true,
  answeredParts: true,
  suspects: true,
  trialRequest: true,
  trialGrant: true,
  trialEnd: true,
  streamOrigins: true,
  originsStored: true,
  streamVersions: true,
  originQuery: true,
  originReply: true,
  leader: true,
  leaseCall: true,
  leaseReply: true,
};

/** Encodes a message. A message to many peers is encoded only once. */
export function encodeMessage<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): string {
  return JSON.stringify(rpc.createJSONRPCNotification(method, params));
}

/** A TCP connection between two daemons that carries JSON-RPC notifications, one per line. */
export class PeerChannel {
  private readonly _onMessage = new common.Emitter<PeerMessage>();
  public readonly onMessage = this._onMessage.event;
  private readonly _onClosed = new common.Emitter<string>();
  /** Fires once with the reason. */
  public readonly onClosed = this._onClosed.event;
  private readonly _server = new rpc.JSONRPCServer();
  /** Parts of a line whose end has not been received. */
  private _lineParts: string[] = [];
  private _linePartsLength = 0;
  private _lastReceivedMs: number;

  public constructor(
    private readonly _socket: net.Socket,
    private readonly _clock: Clock,
  ) {
    this._lastReceivedMs = _clock.now().steadyMs;
    for (const method of Object.keys(methods) as (keyof PeerMessages)[]) {
      this._server.addMethod(method, (params: PeerMessages[typeof method]) => {
        this._onMessage.fire({ method, params } as PeerMessage);
      });
    }
    this._attachListeners();
  }

  /** When data was last received from the peer, steady milliseconds. */
  public get lastReceivedMs(): number {
    return this._lastReceivedMs;
  }

  public send<Method extends keyof PeerMessages>(method: Method, params: PeerMessages[Method]): void {
    this.sendEncoded(encodeMessage(method, params));
  }

  /** Sends an encoded message. */
  public sendEncoded(line: string): void {
    if (this._socket.destroyed) {
      return;
    }
    this._socket.write(`${line}\n`);
    if (this._socket.writableLength > maximumUnsentBytes) {
      this.close('the peer does not read');
    }
  }

  public close(reason: string): void {
    if (!this._socket.destroyed) {
      this._socket.destroy(new Error(reason));
    }
  }

  private _attachListeners(): void {
    let reason = 'closed by the peer';
    this._socket.setNoDelay(true);
    this._socket.setEncoding('utf8');
    this._socket.on('data', (text: string) => {
      this._receive(text);
    });
    this._socket.on('error', (error) => {
      reason = error.message;
    });
    this._socket.once('close', () => {
      this._onClosed.fire(reason);
    });
  }

  private _receive(text: string): void {
    this._lastReceivedMs = this._clock.now().steadyMs;
    const [first = '', ...others] = text.split('\n');
    this._appendToLine(first);
    for (const part of others) {
      if (this._socket.destroyed) {
        return;
      }
      const line = this._lineParts.join('');
      this._lineParts = [];
      this._linePartsLength = 0;
      void this._server.receiveJSON(line);
      this._appendToLine(part);
    }
  }

  private _appendToLine(part: string): void {
    this._lineParts.push(part);
    this._linePartsLength += part.length;
    if (this._linePartsLength > maximumLineLength) {
      this.close('message is too long');
    }
  }
}
