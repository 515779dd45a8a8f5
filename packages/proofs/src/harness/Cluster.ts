import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as common from '@jayhaven/common';
import type * as standins from '@jayhaven/standins';
import { CallerClient } from './CallerClient.js';
import { DaemonHandle, type DaemonProxies } from './DaemonHandle.js';
import { freePort } from '@jayhaven/standins';
import { Observer } from './Observer.js';
import { waitUntil } from './ManagedProcess.js';
import { OperatorClient } from './OperatorClient.js';
import { formatSettings, mergeSettings, partnerSections } from './settingsFile.js';
import { StandInHandle } from './StandInHandle.js';
import type { ClusterOptions, DaemonPlacement, Flags, SettingsSection } from './Types.js';

const defaultPartners = ['solano', 'cascade'];
const defaultFailureDomains = ['fd-a', 'fd-b', 'fd-c'];
const defaultAccelerators = [80e9];

/** Settings of daemons under test: a short stop announcement and lease, so that tests run fast. */
const testSettings: Readonly<Record<string, SettingsSection>> = {
  daemon: { cell: 'cell-1', log_level: 'info' },
  owner: { lease_ms: 3000, renew_ms: 1000, order_delivery_ms: 5000 },
  stop: { announce_ms: 500, limit_ms: 20_000 },
};

/** A target on a VM of its own. */
export interface Target {
  readonly vm: string;
  readonly failureDomain: string;
  readonly standIn: StandInHandle;
  /** Address in the VM list: the proxy's if there is one. */
  readonly address: string;
  readonly proxy: StandInHandle | undefined;
}

/** Starts the platform's stand-ins and the daemons as processes on 127.0.0.1. Disposal ends all processes. */
export class Cluster implements AsyncDisposable {
  public readonly daemons: DaemonHandle[] = [];
  public readonly engines: Target[] = [];
  public readonly services: (Target & { readonly service: string })[] = [];
  public readonly callers: CallerClient;
  public readonly observer: Observer;
  private readonly _resources = new common.DisposalRegistry();
  private readonly _client = new common.JsonHttpClient();
  private readonly _partners: readonly string[];
  private _log: StandInHandle | undefined;
  private _vmList: StandInHandle | undefined;
  private _weightStore: StandInHandle | undefined;

  private constructor(private readonly _options: ClusterOptions) {
    this._partners = _options.partners ?? defaultPartners;
    this._resources.register(this._client);
    this.observer = new Observer(this);
    this.callers = this._resources.register(
      new CallerClient((result) => {
        this.observer.addResult(result);
      }),
    );
  }

  /** Starts stand-ins and daemons, and waits until every daemon is ready. */
  public static async start(options: ClusterOptions): Promise<Cluster> {
    const cluster = await Cluster.prepare(options);
    try {
      for (const daemon of cluster.daemons) {
        daemon.start();
      }
      await Promise.all(cluster.daemons.map((daemon) => daemon.waitUntilReady()));
      return cluster;
    } catch (error) {
      await cluster[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Starts the stand-ins and writes the settings; daemons are started by the caller. */
  public static async prepare(options: ClusterOptions): Promise<Cluster> {
    const cluster = new Cluster(options);
    try {
      await cluster._startPlatform();
      await cluster._startTargets();
      await cluster._prepareDaemons();
      await cluster.publishVms();
      cluster.observer.start();
      cluster._resources.register(() => {
        cluster.observer.stop();
      });
      return cluster;
    } catch (error) {
      await cluster[Symbol.asyncDispose]();
      throw error;
    }
  }

  public get log(): StandInHandle {
    return requireStarted(this._log);
  }

  public get vmList(): StandInHandle {
    return requireStarted(this._vmList);
  }

  public get weightStore(): StandInHandle {
    return requireStarted(this._weightStore);
  }

  /** Returns a daemon by index; throws if there is none. */
  public daemon(index: number): DaemonHandle {
    const daemon = this.daemons[index];
    if (!daemon) {
      throw new Error(`cluster has no daemon ${index}`);
    }
    return daemon;
  }

  /** Returns a client of a daemon's operator interface for a partner. */
  public operator(partner: string, daemonIndex = 0): OperatorClient {
    return new OperatorClient(this._client, this.daemon(daemonIndex).operatorsUrl, partner);
  }

  /**
   * Waits until a configured value is in force at every running daemon. Returns the time from the call for each daemon,
   * milliseconds; all daemons are polled concurrently.
   */
  public timesUntilInForce(partner: string, key: string, value: unknown, timeoutMs: number): Promise<number[]> {
    const expected = JSON.stringify(value);
    const startMs = performance.now();
    const running = this.daemons.flatMap((daemon, index) => (daemon.isRunning ? [index] : []));
    const waits = running.map(async (index) => {
      const operator = this.operator(partner, index);
      await waitUntil(`${key} is in force at ${this.daemon(index).name}`, timeoutMs, async () => {
        const current = await operator.value(key).catch(() => undefined);
        return current !== undefined && JSON.stringify(current.value) === expected;
      });
      return performance.now() - startMs;
    });
    return Promise.all(waits);
  }

  /** Replaces the entire VM list. */
  public async publishVms(): Promise<void> {
    const engineEntries = this.engines.map((target, index) => vmEntryOf(target, 'engine', this._engineLabels(index)));
    const serviceEntries = this.services.map((target) => vmEntryOf(target, 'service', { service: target.service }));
    const daemonEntries = this.daemons.map(({ identity }) => {
      const address = `127.0.0.1:${identity.ports.callers}`;
      return vmEntryOf({ vm: identity.vm, failureDomain: identity.failureDomain, address }, 'entry', {});
    });
    await this.vmList.control([...engineEntries, ...serviceEntries, ...daemonEntries], 'PUT');
  }

  /** Changes the state of a VM in the VM list. */
  public async setVmState(vm: string, state: 'live' | 'leaving' | 'gone'): Promise<void> {
    await this.vmList.request('POST', `/control/vms/${vm}`, { state });
  }

  /** Partitions one daemon from all others in both directions, or ends the partition. Needs `proxies.peers`. */
  public async isolateDaemon(daemon: DaemonHandle, isolated: boolean): Promise<void> {
    const texts = isolated ? [`"caller":"${daemon.name}#`] : [];
    for (const other of this.daemons) {
      await requireStarted(other.proxies.peers).control(
        other === daemon ? { cut: isolated } : { dropContaining: texts },
      );
    }
  }

  /** Standard error of every process, for the message of a failed assertion. */
  public errorOutput(maximumCharacters = 8000): string {
    const parts = [
      ...this.daemons.map((daemon) => ({ name: daemon.name, text: daemon.errorOutput })),
      ...[...this.engines, ...this.services].map(({ standIn }) => ({
        name: standIn.name,
        text: standIn.process.errorOutput,
      })),
    ];
    return parts
      .filter((part) => part.text !== '')
      .map((part) => `=== ${part.name}\n${part.text.slice(-maximumCharacters)}`)
      .join('\n');
  }

  public async [Symbol.asyncDispose](): Promise<void> {
    await this._resources[Symbol.asyncDispose]();
  }

  private async _startPlatform(): Promise<void> {
    const { log, vmList, weightStore } = this._options;
    [this._log, this._vmList, this._weightStore] = await settleAll([
      this._startStandIn('log', 'log', { ...this._seed(), ...log }),
      this._startStandIn('vm-list', 'vm-list', { ...vmList }),
      this._startStandIn('weight-store', 'weight-store', { ...this._seed(), ...weightStore }),
    ]);
  }

  private async _startTargets(): Promise<void> {
    const { engines = [], services = [] } = this._options;
    const startedEngines = engines.map(async (placement, index) => {
      const accelerators = placement.accelerators ?? defaultAccelerators;
      const fencing = placement.fencing ?? 'checked';
      const flags = {
        ...{ accelerators: accelerators.join(','), fencing, 'weight-store': this.weightStore.url },
        ...{ ...this._seed(), ...this._options.engine, ...placement.flags },
      };
      return this._startTarget('engine', index, flags, placement.failureDomain);
    });
    const startedServices = services.map(async (placement, index) => {
      const flags = { name: placement.name, ...this._seed(), ...placement.flags };
      const target = await this._startTarget('service', index, flags, placement.failureDomain);
      return { ...target, service: placement.name };
    });
    await settleAll([...startedEngines, ...startedServices]);
    this.engines.push(...(await Promise.all(startedEngines)));
    this.services.push(...(await Promise.all(startedServices)));
  }

  private async _startTarget(
    kind: 'engine' | 'service',
    index: number,
    flags: Flags,
    failureDomain = defaultFailureDomainOf(index),
  ): Promise<Target> {
    const vm = `${kind}-${index + 1}`;
    const port = await freePort();
    const standIn = await this._startStandIn(vm, kind, { ...flags, port });
    const proxy = this._options.proxies?.targets ? await this._startProxy(vm, standIn.address) : undefined;
    return { vm, failureDomain, standIn, address: (proxy ?? standIn).address, proxy };
  }

  private async _prepareDaemons(): Promise<void> {
    const { daemons } = this._options;
    const placements: readonly DaemonPlacement[] =
      typeof daemons === 'number' ? Array.from({ length: daemons }, () => ({})) : daemons;
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'jayhaven-proofs-'));
    this._resources.register(() => fs.rm(folder, { recursive: true, force: true }));
    const planned = await settleAll(
      placements.map(async (placement, index) => {
        const name = placement.name ?? `entry-${index + 1}`;
        const ports = { callers: await freePort(), peers: await freePort(), operators: await freePort() };
        const failureDomain = placement.failureDomain ?? defaultFailureDomainOf(index);
        const identity = { name, vm: `vm-${name}`, failureDomain, ports };
        return { identity, proxies: await this._startDaemonProxies(name, ports.peers) };
      }),
    );
    const peerAddresses = planned.map(({ identity, proxies }) => proxies.peers?.address ?? peerAddressOf(identity));
    for (const [index, { identity, proxies }] of planned.entries()) {
      const settingsFile = path.join(folder, `${identity.name}.ini`);
      const seeds = peerAddresses.filter((_address, other) => other !== index);
      await fs.writeFile(settingsFile, formatSettings(this._settingsOf(identity, proxies, seeds)));
      const handle = new DaemonHandle({ ...identity, settingsFile }, proxies, this._client, this._options.daemonScript);
      this.daemons.push(this._resources.register(handle));
    }
  }

  private _settingsOf(
    identity: Omit<DaemonHandle['identity'], 'settingsFile'>,
    proxies: DaemonProxies,
    seeds: readonly string[],
  ): Readonly<Record<string, SettingsSection>> {
    const { callers, peers, operators } = identity.ports;
    const advertised = proxies.peers ? { advertised_peers: proxies.peers.address } : {};
    const own: Readonly<Record<string, SettingsSection>> = {
      daemon: { name: identity.name, vm: identity.vm, failure_domain: identity.failureDomain },
      listen: {
        callers: `127.0.0.1:${callers}`,
        peers: `127.0.0.1:${peers}`,
        operators: `127.0.0.1:${operators}`,
        ...advertised,
      },
      platform: {
        log_url: (proxies.log ?? this.log).url,
        vm_list_url: `${(proxies.vmList ?? this.vmList).url}/vms`,
      },
      peers: seeds.length === 0 ? {} : { seeds: seeds.join(', ') },
    };
    return mergeSettings(testSettings, own, partnerSections(this._partners), this._options.settings ?? {});
  }

  private async _startDaemonProxies(name: string, peersPort: number): Promise<DaemonProxies> {
    const { proxies = {} } = this._options;
    return {
      ...(proxies.log ? { log: await this._startProxy(`${name}-log`, this.log.address) } : {}),
      ...(proxies.vmList ? { vmList: await this._startProxy(`${name}-vm-list`, this.vmList.address) } : {}),
      ...(proxies.peers ? { peers: await this._startProxy(`${name}-peers`, `127.0.0.1:${peersPort}`) } : {}),
    };
  }

  private async _startProxy(name: string, to: string): Promise<StandInHandle> {
    return this._startStandIn(`proxy-${name}`, 'fault-proxy', { to, port: await freePort() });
  }

  private async _startStandIn(name: string, kind: string, flags: Flags): Promise<StandInHandle> {
    const port = flags.port ?? (await freePort());
    const handle = this._resources.register(new StandInHandle(name, kind, { ...flags, port }, this._client));
    await handle.waitUntilReady();
    return handle;
  }

  private _engineLabels(index: number): Readonly<Record<string, string>> {
    const placement = this._options.engines?.[index];
    const accelerators = (placement?.accelerators ?? defaultAccelerators).join(',');
    return { accelerators, fencing: placement?.fencing ?? 'checked' };
  }

  private _seed(): Flags {
    return { seed: this._options.seed ?? 1 };
  }
}

function vmEntryOf(
  target: Pick<Target, 'vm' | 'failureDomain' | 'address'>,
  role: 'engine' | 'service' | 'entry',
  labels: Readonly<Record<string, string>>,
): standins.VmEntry {
  const { vm, failureDomain, address } = target;
  return { targets: [address], labels: { vm, failure_domain: failureDomain, state: 'live', role, ...labels } };
}

/** Waits for all promises even if one rejects, so that no process starts after disposal. */
async function settleAll<Value>(promises: readonly Promise<Value>[]): Promise<Value[]> {
  await Promise.allSettled(promises);
  return Promise.all(promises);
}

function peerAddressOf(identity: { readonly ports: { readonly peers: number } }): string {
  return `127.0.0.1:${identity.ports.peers}`;
}

function defaultFailureDomainOf(index: number): string {
  return defaultFailureDomains[index % defaultFailureDomains.length] ?? '';
}

function requireStarted<Value>(value: Value | undefined): Value {
  if (value === undefined) {
    throw new Error('the cluster was started without this process');
  }
  return value;
}
