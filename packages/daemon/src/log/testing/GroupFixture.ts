import * as common from '@jayhaven/common';
import * as standins from '@jayhaven/standins';
import { openControlPlane } from '../../ControlPlane.js';
import type { ControlPlane } from '../../Types.js';
import { joinedDaemons, testContext, testSettings, until } from './support.js';

type SettingsOverrides = Parameters<typeof testSettings>[2];

/** Daemons' control planes on one log stand-in, each with its own fault proxy to the log. */
export class GroupFixture implements AsyncDisposable {
  public readonly planes = new Map<string, ControlPlane>();
  private readonly _proxies = new Map<string, standins.FaultProxy>();
  private readonly _http = new common.JsonHttpClient();
  private readonly _closing = new common.DisposalRegistry();

  private constructor(public readonly log: standins.LogService) {
    this._closing.register(log);
    this._closing.register(this._http);
  }

  public static async open(options: standins.LogOptions = {}): Promise<GroupFixture> {
    return new GroupFixture(await standins.LogService.open(options));
  }

  /** Opens a daemon; a later one of the same name replaces the earlier one. */
  public async start(name: string, overrides: SettingsOverrides = {}): Promise<ControlPlane> {
    const proxy = this._closing.register(await standins.FaultProxy.open({ to: `127.0.0.1:${this.log.port}` }));
    this._proxies.set(name, proxy);
    const settings = testSettings(name, `http://127.0.0.1:${proxy.proxyPort}`, overrides);
    const plane = await openControlPlane(testContext(settings));
    this.planes.set(name, plane);
    return plane;
  }

  /** Opens several daemons and waits until all of them have joined on each. */
  public async startAll(names: readonly string[], overrides: SettingsOverrides = {}): Promise<readonly ControlPlane[]> {
    const planes = await Promise.all(names.map((name) => this.start(name, overrides)));
    await until('all daemons have joined on every daemon', () =>
      planes.every((plane) => joinedDaemons(plane).length === names.length),
    );
    return planes;
  }

  /** A running daemon. */
  public plane(name: string): ControlPlane {
    const plane = this.planes.get(name);
    if (!plane) {
      throw new Error(`daemon ${name} is not running`);
    }
    return plane;
  }

  /** Ends a daemon without leaving, as a crash does. */
  public async kill(name: string): Promise<void> {
    const plane = this.planes.get(name);
    this.planes.delete(name);
    await plane?.[Symbol.asyncDispose]();
  }

  /** Cuts one daemon off from the log, or connects it again. */
  public async cutOff(name: string, cut: boolean): Promise<void> {
    await this._proxies.get(name)?.setFaults({ cut, closeConnections: !cut });
  }

  /** Sets faults of the log stand-in. */
  public async controlLog(faults: Readonly<Record<string, unknown>>): Promise<Readonly<Record<string, unknown>>> {
    const url = `http://127.0.0.1:${this.log.port}/control`;
    const response = await this._http.request({ method: 'POST', url, body: faults, timeoutMs: 2000 });
    return common.expectValue(response, 'the log stand-in is up').body as Readonly<Record<string, unknown>>;
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.planes.values()].map((plane) => plane[Symbol.asyncDispose]()));
    await this._closing[Symbol.asyncDispose]();
  }
}

/** An edit of a default of the partner Solano. */
export function edit(
  field: string,
  value: number,
  basedOn: number | null,
): {
  readonly kind: 'configurationEdited';
  readonly partner: string;
  readonly operator: string;
  readonly key: string;
  readonly basedOn: number | null;
  readonly value: number;
  readonly reason: string;
} {
  const key = `solano/defaults/${field}`;
  return { kind: 'configurationEdited', partner: 'solano', operator: 'maria', key, basedOn, value, reason: '' };
}
