import * as common from '@jayhaven/common';
import * as rpc from 'json-rpc-2.0';
import type * as net from 'node:net';
import type { Clock } from '../Clock.js';
import type { PeerMessages } from './Types.js';

/** Unsent bytes above which a peer counts as too slow or gone and its connection is closed. */
const maximumUnsentBytes = 8 * 1024 * 1024;
/** The same before the first message of the client, which need not be a daemon. */
const maximumUnsentBytesBefore = 1024 * 1024;
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
  private readonly _onPending = new common.Emitter<number>();
  /** Fires with each change of the length of an unfinished message, characters. */
  public readonly onPending = this._onPending.event;
  private readonly _onInvalid = new common.Emitter<undefined>();
  /** Fires before the channel is closed because of an invalid message. */
  public readonly onInvalid = this._onInvalid.event;
  private readonly _server = new rpc.JSONRPCServer();
  /** Parts of a line whose end has not been received. */
  private _lineParts: string[] = [];
  private _linePartsLength = 0;
  private _lastReceivedMs: number;
  private _isIdentified = false;
  /** When the channel was opened, steady milliseconds. */
  public readonly openedMs: number;

  public constructor(
    private readonly _socket: net.Socket,
    private readonly _clock: Clock,
  ) {
    this.openedMs = _clock.now().steadyMs;
    this._lastReceivedMs = this.openedMs;
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

  /** True once the client has sent a message, so that it is a daemon. */
  public get isIdentified(): boolean {
    return this._isIdentified;
  }

  /** Length of a message whose end has not been received, characters. */
  public get pendingLength(): number {
    return this._linePartsLength;
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
    if (this._socket.writableLength > (this._isIdentified ? maximumUnsentBytes : maximumUnsentBytesBefore)) {
      this.close('the peer does not read');
    }
  }

  public close(reason: string): void {
    if (!this._socket.destroyed) {
      this._socket.destroy(new Error(reason));
    }
    this._takeLine();
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
    let start = 0;
    for (let end = text.indexOf('\n'); end >= 0; end = text.indexOf('\n', start)) {
      this._appendToLine(text.slice(start, end));
      start = end + 1;
      if (this._socket.destroyed) {
        return;
      }
      this._handleLine(this._takeLine());
    }
    if (start < text.length) {
      this._appendToLine(text.slice(start));
    }
  }

  /** Handles a message. Any client can connect, so one that sends something else is disconnected. */
  private _handleLine(line: string): void {
    const request = parseRequest(line);
    if (request === undefined) {
      this._onInvalid.fire(undefined);
      this.close('invalid message');
      return;
    }
    this._isIdentified = true;
    void this._server.receive(request);
  }

  private _takeLine(): string {
    const line = this._lineParts.join('');
    this._lineParts = [];
    const length = this._linePartsLength;
    this._linePartsLength = 0;
    if (length > 0) {
      this._onPending.fire(-length);
    }
    return line;
  }

  private _appendToLine(part: string): void {
    if (part === '' || this._socket.destroyed) {
      return;
    }
    this._lineParts.push(part);
    this._linePartsLength += part.length;
    this._onPending.fire(part.length);
    if (this._linePartsLength > maximumLineLength) {
      this.close('message is too long');
    }
  }
}

/** Parses a line; undefined if it is not a notification. */
function parseRequest(line: string): rpc.JSONRPCRequest | undefined {
  try {
    const parsed: unknown = JSON.parse(line);
    return rpc.isJSONRPCRequest(parsed) ? parsed : undefined;
  } catch {
    return undefined;
  }
}
