import * as net from 'node:net';
import * as common from '@jayhaven/common';
import * as zod from 'zod';
import { HttpStandIn, sendNotFound, type Call } from '../http/HttpStandIn.js';
import type { ListenOptions } from '../Types.js';
import { ProxiedConnection } from './ProxiedConnection.js';
import type { DirectionFault } from './Types.js';

/** Options of the fault proxy. */
export interface FaultProxyOptions extends ListenOptions {
  /** Target, `ip:port`. */
  readonly to: string;
  /** Port of the control interface. */
  readonly controlPort?: number;
}

const directionSchema = zod.strictObject({
  drop: zod.boolean().optional(),
  delayMs: zod.number().min(0).optional(),
});
const controlSchema = zod.strictObject({
  /** Sets whether both directions are dropped. */
  cut: zod.boolean().optional(),
  /** Delay of both directions, milliseconds. */
  delayMs: zod.number().min(0).optional(),
  toTarget: directionSchema.optional(),
  toClient: directionSchema.optional(),
  /** Texts; a connection whose client has sent one of them is dropped in both directions. */
  dropContaining: zod.array(zod.string().min(1)).optional(),
  /** Refuses new connections. */
  refuse: zod.boolean().optional(),
  /** Resets the existing connections. */
  closeConnections: zod.boolean().optional(),
  /** Drops both directions of the existing connections for good, while new ones work. */
  silenceConnections: zod.boolean().optional(),
});
type Control = zod.infer<typeof controlSchema>;

/** TCP proxy with faults per direction, which are set over HTTP on its control port. */
export class FaultProxy extends HttpStandIn {
  private readonly _connections = new Set<ProxiedConnection>();
  private _toTarget: DirectionFault = { drop: false, delayMs: 0 };
  private _toClient: DirectionFault = { drop: false, delayMs: 0 };
  private _dropContaining: readonly string[] = [];
  private _server: net.Server | undefined;
  private _proxyPort = 0;
  private _accepted = 0;

  private constructor(private readonly _options: FaultProxyOptions) {
    super();
  }

  /** Starts the proxy. `port` is the control interface, `proxyPort` the proxied address. */
  public static async open(options: FaultProxyOptions): Promise<FaultProxy> {
    const proxy = new FaultProxy(options);
    await proxy.listen({ host: options.host ?? '127.0.0.1', port: options.controlPort ?? 0 });
    await proxy._listenForClients(options.port ?? 0);
    return proxy;
  }

  /** Port that clients connect to. */
  public get proxyPort(): number {
    return this._proxyPort;
  }

  /** Sets faults. Faults that are not given do not change. */
  public async setFaults(control: Control): Promise<void> {
    const bothDirections = {
      ...(control.cut === undefined ? {} : { drop: control.cut }),
      ...(control.delayMs === undefined ? {} : { delayMs: control.delayMs }),
    };
    this._toTarget = merge(this._toTarget, bothDirections, control.toTarget);
    this._toClient = merge(this._toClient, bothDirections, control.toClient);
    this._dropContaining = control.dropContaining ?? this._dropContaining;
    for (const connection of [...this._connections]) {
      if (control.closeConnections) {
        connection.close();
      } else if (control.silenceConnections) {
        connection.silence();
      } else {
        connection.update();
      }
    }
    if (control.refuse === true) {
      this._server?.close();
      this._server = undefined;
    } else if (control.refuse === false && !this._server) {
      await this._listenForClients(this._proxyPort);
    }
  }

  protected override stop(): void {
    this._server?.close();
    for (const connection of [...this._connections]) {
      connection.close();
    }
  }

  protected override async handle(call: Call): Promise<void> {
    if (call.path !== '/control') {
      sendNotFound(call);
      return;
    }
    if (call.method === 'POST') {
      await this.setFaults(controlSchema.parse(call.body));
    }
    common.sendJson(call.response, 200, {
      toTarget: this._toTarget,
      toClient: this._toClient,
      dropContaining: this._dropContaining,
      refuse: this._server === undefined,
      connections: this._connections.size,
      accepted: this._accepted,
    });
  }

  private async _listenForClients(port: number): Promise<void> {
    const server = net.createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
      this._openConnection(client);
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, this._options.host ?? '127.0.0.1', resolve);
    });
    this._server = server;
    this._proxyPort = (server.address() as net.AddressInfo).port;
  }

  private _openConnection(client: net.Socket): void {
    this._accepted += 1;
    const separator = this._options.to.lastIndexOf(':');
    const to = { host: this._options.to.slice(0, separator), port: Number(this._options.to.slice(separator + 1)) };
    const faults = {
      toTarget: () => this._toTarget,
      toClient: () => this._toClient,
      dropContaining: () => this._dropContaining,
    };
    const connection = new ProxiedConnection(client, to, faults, () => {
      this._connections.delete(connection);
    });
    this._connections.add(connection);
  }
}

function merge(current: DirectionFault, ...changes: (zod.infer<typeof directionSchema> | undefined)[]): DirectionFault {
  return changes.reduce<DirectionFault>(
    (fault, change) => ({ drop: change?.drop ?? fault.drop, delayMs: change?.delayMs ?? fault.delayMs }),
    current,
  );
}
