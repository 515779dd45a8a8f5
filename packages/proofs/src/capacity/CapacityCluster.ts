import type * as standins from '@jayhaven/standins';
import * as common from '@jayhaven/common';
import { Cluster, waitUntil } from '../harness/index.js';
import { EngineFleet, modelBytes } from './EngineFleet.js';
import { ProcessProbe, type ProcessReading } from './ProcessProbe.js';
import type { RunShape } from './Types.js';

/** Number of concurrent edits while the configuration is written. */
const concurrentEdits = 40;
const readyTimeoutMs = 60_000;
/** Load limits high enough not to delay the preparation, and the daemon's default lease instead of that of the tests. */
const settings = {
  daemon: { log_level: 'warn' },
  owner: {
    ...{ lease_ms: 6_000, renew_ms: 2_000, order_delivery_ms: 30_000 },
    ...{ loads_per_second: 100, maximum_concurrent_loads: 100 },
  },
};

/** A cluster whose engines run in this process and whose daemons count the bytes on their sockets. */
export class CapacityCluster implements AsyncDisposable {
  private readonly _resources = new common.DisposalRegistry();

  private constructor(
    public readonly shape: RunShape,
    public readonly cluster: Cluster,
    public readonly fleet: EngineFleet,
    private readonly _probe: ProcessProbe,
  ) {}

  /** Starts daemons and engines and writes the configuration. */
  public static async open(shape: RunShape): Promise<CapacityCluster> {
    const registry = new common.DisposalRegistry();
    try {
      const fleet = registry.register(await EngineFleet.open(shape.targets, { tokenMs: shape.tokenMs }));
      const probe = registry.register(await ProcessProbe.open());
      const services = shape.claimsPerSecond > 0 ? [{ name: 'booking' }] : [];
      const cluster = registry.register(await Cluster.start({ daemons: shape.daemons, services, settings }));
      const capacity = new CapacityCluster(shape, cluster, fleet, probe);
      capacity._resources.register(registry);
      await capacity._prepare();
      return capacity;
    } catch (error) {
      await registry[Symbol.asyncDispose]();
      throw error;
    }
  }

  /** Reads the resource usage of every daemon. */
  public readDaemons(): Promise<ProcessReading[]> {
    return Promise.all(this.cluster.daemons.map(({ process }) => this._probe.read(process.pid)));
  }

  /** Index of the daemon that owns the cell. */
  public async ownerIndex(): Promise<number> {
    const text = JSON.stringify(await this.cluster.operator('solano').read('owners'));
    const owner = /"owner":"?([^"#,}]+)/.exec(text)?.[1] ?? '';
    return this.cluster.daemons.findIndex(({ name }) => owner.startsWith(name));
  }

  public [Symbol.asyncDispose](): Promise<void> {
    return this._resources[Symbol.asyncDispose]();
  }

  private async _prepare(): Promise<void> {
    const { vmList } = this.cluster;
    const { entries } = (await vmList.control()) as { readonly entries: readonly standins.VmEntry[] };
    await vmList.control([...entries, ...this.fleet.vmEntries()], 'PUT');
    const operator = this.cluster.operator('solano');
    await forEachIndex(this.shape.models, concurrentEdits, async (index) => {
      const value = { version: '1', weightBytes: [modelBytes], cacheBytes: 0, expectedLoadMilliseconds: 100 };
      const answer = await operator.edit(`solano/models/m${index}`, value, null);
      if (answer.status !== 200) {
        throw new Error(`edit of model m${index} failed: ${JSON.stringify(answer)}`);
      }
    });
    if (this.shape.claimsPerSecond > 0) {
      const service = { idempotentRoutes: ['GET /'], deadlineMilliseconds: 10_000 };
      await operator.set('solano/services/booking', service);
    }
    await waitUntil('the VM list is replayed', readyTimeoutMs, async () => {
      const { vms } = (await operator.read('vms')) as { readonly vms: readonly unknown[] };
      return vms.length >= this.shape.targets + this.shape.daemons;
    });
    await this._loadModels();
  }

  private async _loadModels(): Promise<void> {
    await forEachIndex(this.shape.loadedModels, 8, async (index) => {
      const call = { partner: 'solano', model: `m${index}`, stream: false, maximumTokens: 1 };
      const result = await this.cluster.callers.complete(this.cluster.daemon(0).callersUrl, call);
      if (result.status !== 200) {
        throw new Error(`model m${index} did not load: ${result.body}`);
      }
    });
  }
}

async function forEachIndex(count: number, concurrency: number, run: (index: number) => Promise<void>): Promise<void> {
  let next = 0;
  const runWorker = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      await run(next - 1);
    }
  };
  await Promise.all(Array.from({ length: Math.min(concurrency, count) }, runWorker));
}
