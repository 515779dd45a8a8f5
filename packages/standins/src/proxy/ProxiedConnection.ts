import * as net from 'node:net';
import { FaultTransform, type FaultProvider } from './FaultTransform.js';
import type { DirectionFault } from './Types.js';

/** Number of the client's latest characters that are searched. A request names its client near its start. */
const clientTextLength = 8192;

/** Faults of a connection, read again for each chunk. */
export interface ConnectionFaults {
  readonly toTarget: () => DirectionFault;
  readonly toClient: () => DirectionFault;
  /** Texts that cause both directions to be dropped when the client has sent one of them. */
  readonly dropContaining: () => readonly string[];
}

/** One client connection and its connection to the target. */
export class ProxiedConnection {
  private readonly _target: net.Socket;
  private readonly _pipes: readonly DirectionPipe[];
  /** The latest characters that the client has sent. */
  private _clientText = '';
  private _isSilent = false;

  public constructor(
    private readonly _client: net.Socket,
    to: { readonly host: string; readonly port: number },
    faults: ConnectionFaults,
    onClosed: () => void,
  ) {
    this._target = net.connect({ host: to.host, port: to.port, noDelay: true });
    const isDropped = (): boolean =>
      this._isSilent || faults.dropContaining().some((text) => this._clientText.includes(text));
    const toTarget = (chunk?: Buffer): DirectionFault => {
      this._clientText = (this._clientText + (chunk?.toString('latin1', 0, clientTextLength) ?? '')).slice(
        -clientTextLength,
      );
      const fault = faults.toTarget();
      return { ...fault, drop: fault.drop || isDropped() };
    };
    const toClient = (): DirectionFault => {
      const fault = faults.toClient();
      return { ...fault, drop: fault.drop || isDropped() };
    };
    this._pipes = [
      new DirectionPipe(this._client, this._target, toTarget),
      new DirectionPipe(this._target, this._client, toClient),
    ];
    for (const socket of [this._client, this._target]) {
      socket.on('error', () => {
        this.close();
      });
      socket.on('close', () => {
        if (this._client.destroyed && this._target.destroyed) {
          onClosed();
        }
      });
    }
  }

  /** Drops both directions for good, without a reset. */
  public silence(): void {
    this._isSilent = true;
    this.update();
  }

  /** Applies changed faults. */
  public update(): void {
    for (const pipe of this._pipes) {
      pipe.update();
    }
  }

  /** Resets both connections. */
  public close(): void {
    for (const pipe of this._pipes) {
      pipe.stop();
    }
    this._client.resetAndDestroy();
    this._target.resetAndDestroy();
  }
}

/** Forwards the bytes of one direction. */
class DirectionPipe {
  private readonly _faultTransform: FaultTransform;

  public constructor(
    source: net.Socket,
    private readonly _destination: net.Socket,
    fault: FaultProvider,
  ) {
    this._faultTransform = new FaultTransform(fault);
    source.pipe(this._faultTransform).pipe(this._destination);
    source.on('close', () => {
      this._faultTransform.end();
    });
  }

  public update(): void {
    this._faultTransform.update();
  }

  public stop(): void {
    this._faultTransform.destroy();
  }
}
