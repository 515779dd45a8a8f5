/** Opens the part that owns the cell, gives orders to engines, reads the VM list and collects load reports. */
import * as common from '@jayhaven/common';
import type { ControlPlane, DaemonContext, OwnerComponent, OwnerStatus } from '../Types.js';
import { LeavingVms } from '../targets/LeavingVms.js';
import { LoadCollector } from '../targets/LoadCollector.js';
import { LoadDigests } from '../targets/LoadDigests.js';
import { VmWatcher } from '../targets/VmWatcher.js';
import { EngineClient } from './EngineClient.js';
import { Lease } from './Lease.js';
import { Orders } from './Orders.js';
import { OwnerCaller } from './OwnerCaller.js';
import { Planner } from './Planner.js';
import { Reports } from './Reports.js';
import { usageReportSchema, verifySchema, wakeRequestSchema, type WakeResult } from './schemas.js';
import type { OwnerServices } from './OwnerServices.js';

/** Time to settle own orders before ownership is released; the rest is settled when the lease is taken over. */
const releaseLimitMs = 5_000;
const releaseCheckMs = 20;
const verifyTimeoutMs = 1_000;

interface Parts {
  readonly context: DaemonContext;
  readonly control: ControlPlane;
  readonly lease: Lease;
  readonly planner: Planner;
  readonly orders: Orders;
}

/** Opens ownership, orders and targets of a daemon. */
export async function openOwner(context: DaemonContext, control: ControlPlane): Promise<OwnerComponent> {
  const registry = new common.DisposalRegistry();
  const engines = registry.register(new EngineClient());
  const leaving = new LeavingVms(control);
  registry.register(() => {
    leaving.close();
  });
  const lease = registry.register(new Lease(context, control));
  const services: OwnerServices = { context, control, engines, lease };
  const planner = registry.register(new Planner(services, () => leaving.hints));
  const orders = registry.register(
    new Orders(services, new Reports(context, control), {
      onLoaded: (load) => planner.post({ kind: 'loaded', load }),
      onFailed: (load) => planner.post({ kind: 'failed', load }),
      onStray: (target, present) => planner.post({ kind: 'stray', target, present }),
    }),
  );
  const parts: Parts = { context, control, lease, planner, orders };
  registerHandlers(parts);
  const loads = registry.register(new LoadDigests(context.now, control, leaving));
  registry.register(
    new LoadCollector(context.now, control, (target) => {
      reportContradiction(parts, target);
    }),
  );
  registry.register(new VmWatcher(context, control, leaving));
  return Promise.resolve({
    client: new OwnerCaller(context, control, lease),
    loads,
    status: () => statusOf(parts),
    release: () => release(parts),
    [Symbol.asyncDispose]: () => registry[Symbol.asyncDispose](),
  });
}

function registerHandlers({ control, planner, orders }: Parts): void {
  control.peers.handle('owner.wake', async (parameters): Promise<WakeResult> => {
    const parsed = wakeRequestSchema.safeParse(parameters);
    if (!parsed.success) {
      return { kind: 'refused', type: 'invalid_wake', message: parsed.error.message, retryAfterMs: 60_000 };
    }
    const { adapter, ...request } = parsed.data;
    return planner.wake({ ...request, ...(adapter === undefined ? {} : { adapter }) });
  });
  control.peers.handle('owner.usage', (parameters, caller) => {
    const parsed = usageReportSchema.safeParse(parameters);
    if (parsed.success) {
      const entries = parsed.data.entries.map(({ adapter, ...entry }) => ({
        ...entry,
        ...(adapter === undefined ? {} : { adapter }),
      }));
      planner.post({ kind: 'usage', daemon: caller, entries });
    }
    return Promise.resolve({});
  });
  control.peers.handle('owner.verify', (parameters) => {
    const parsed = verifySchema.safeParse(parameters);
    if (parsed.success) {
      orders.verify(parsed.data.target);
    }
    return Promise.resolve({});
  });
}

/** Passes a difference between index and state to the owner, which looks again before it reports anything. */
function reportContradiction({ context, control }: Parts, target: common.TargetAddress): void {
  const owner = control.log.state.cells.get(context.settings.daemon.cell)?.owner ?? null;
  if (owner !== null) {
    void control.peers.call(owner, 'owner.verify', { target }, verifyTimeoutMs);
  }
}

async function release({ context, lease, planner, orders }: Parts): Promise<void> {
  const limitMs = context.now() + releaseLimitMs;
  lease.stopClaiming();
  planner.stop();
  while ((planner.isDeciding || orders.hasOwnOrders) && context.now() < limitMs) {
    await new Promise((resolve) => setTimeout(resolve, releaseCheckMs));
  }
  await lease.release();
}

function statusOf({ context, control, lease, planner }: Parts): OwnerStatus {
  const { cell } = context.settings.daemon;
  const entry = control.log.state.cells.get(cell);
  const nowMs = context.now();
  const { planning } = planner;
  return {
    cell,
    isOwner: lease.currentClaim() !== undefined,
    owner: entry?.owner ?? null,
    claim: entry?.claim ?? null,
    queuedLoads: (planning?.queue.ordered(nowMs) ?? []).map((queued) => ({
      model: EngineClient.modelName(queued.settings),
      urgency: queued.urgency,
      waitedMs: nowMs - queued.enqueuedMs,
    })),
    loadsPerSecond: planning?.bucket.perSecond ?? context.settings.owner.loadsPerSecond,
  };
}
