import * as net from 'node:net';
import * as stream from 'node:stream';

/** Fault of one direction. A dropped direction holds its bytes back, as TCP does until a path heals. */
export interface DirectionFault {
  readonly drop: boolean;
  readonly delayMs: number;
}

/** The faults that a connection asks for at each chunk. */
export interface ConnectionFaults {
  readonly toTarget: () => DirectionFault;
  readonly toClient: () => DirectionFault;
  /** Texts in the client's bytes that make the proxy drop both directions. */
  readonly dropContaining: () => readonly string[];
}

/** One client connection and its connection to the target. */
export class ProxiedConnection {
  private readonly _target: net.Socket;
  private readonly _lanes: readonly Lane[];
  /** Start of what the client has sent last; it names the client in each request. */
  private _clientText = '';

  public constructor(
    private readonly _client: net.Socket,
    to: { readonly host: string; readonly port: number },
    faults: ConnectionFaults,
    onClosed: () => void,
  ) {
    this._target = net.connect({ host: to.host, port: to.port, noDelay: true });
    const dropped = (): boolean => faults.dropContaining().some((text) => this._clientText.includes(text));
    const toTarget = (chunk?: Buffer): DirectionFault => {
      this._clientText = chunk?.toString('latin1') ?? this._clientText;
      const fault = faults.toTarget();
      return { ...fault, drop: fault.drop || dropped() };
    };
    const toClient = (): DirectionFault => {
      const fault = faults.toClient();
      return { ...fault, drop: fault.drop || dropped() };
    };
    this._lanes = [new Lane(this._client, this._target, toTarget), new Lane(this._target, this._client, toClient)];
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

  /** Takes over changed faults. */
  public update(): void {
    for (const lane of this._lanes) {
      lane.update();
    }
  }

  /** Breaks both sides. */
  public close(): void {
    for (const lane of this._lanes) {
      lane.stop();
    }
    this._client.resetAndDestroy();
    this._target.resetAndDestroy();
  }
}

/** Says what happens to a direction; is shown each new chunk. */
type FaultOf = (chunk?: Buffer) => DirectionFault;

/** Bytes of one direction. */
class Lane {
  private readonly _gate: Gate;

  public constructor(
    source: net.Socket,
    private readonly _destination: net.Socket,
    fault: FaultOf,
  ) {
    this._gate = new Gate(fault);
    source.pipe(this._gate).pipe(this._destination);
    source.on('close', () => {
      this._gate.end();
    });
  }

  public update(): void {
    this._gate.update();
  }

  public stop(): void {
    this._gate.destroy();
  }
}

/** Passes chunks on in order, late or not at all while the direction is dropped. */
class Gate extends stream.Transform {
  private _held: (() => void) | undefined;
  private _timer: NodeJS.Timeout | undefined;

  public constructor(private readonly _fault: FaultOf) {
    super();
  }

  public override _transform(chunk: Buffer, _encoding: string, done: stream.TransformCallback): void {
    this._pass(() => {
      done(null, chunk);
    }, chunk);
  }

  public override _flush(done: stream.TransformCallback): void {
    this._pass(done);
  }

  public override _destroy(error: Error | null, done: (error?: Error | null) => void): void {
    clearTimeout(this._timer);
    done(error);
  }

  public update(): void {
    const held = this._held;
    if (held && !this._fault().drop) {
      this._held = undefined;
      held();
    }
  }

  private _pass(next: () => void, chunk?: Buffer): void {
    const { drop, delayMs } = this._fault(chunk);
    if (drop) {
      this._held = next;
    } else if (delayMs > 0) {
      this._timer = setTimeout(next, delayMs);
    } else {
      next();
    }
  }
}
