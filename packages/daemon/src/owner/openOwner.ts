/** Opens the components that own the cell, send orders to engines, read the VM list and collect load reports. */
import * as common from '@jayhaven/common';
import type { ControlPlane, DaemonContext, OwnerComponent, OwnerStatus } from '../Types.js';
import { LeavingVms } from '../targets/LeavingVms.js';
import { LoadCollector } from '../targets/LoadCollector.js';
import { LoadDigests } from '../targets/LoadDigests.js';
import { VmWatcher } from '../targets/VmWatcher.js';
import { EngineClient } from './EngineClient.js';
import { Lease } from './Lease.js';
import { ReconcilerManager } from './ReconcilerManager.js';
import { OwnerCaller } from './OwnerCaller.js';
import { Planner } from './Planner.js';
import { ReportAppender } from './ReportAppender.js';
import { usageReportSchema, verifySchema, wakeRequestSchema, type WakeResult } from './schemas.js';
import type { OwnerServices } from './OwnerServices.js';

/** Time to settle own orders before ownership is released; the next owner takes over the rest. */
const releaseTimeoutMs = 5_000;
const releaseCheckMs = 20;
const verifyTimeoutMs = 1_000;

interface OwnerComponents {
  readonly context: DaemonContext;
  readonly control: ControlPlane;
  readonly lease: Lease;
  readonly planner: Planner;
  readonly reconcilers: ReconcilerManager;
}

/** Opens the ownership, the reconcilers and the load reports of a daemon. */
export async function openOwner(context: DaemonContext, control: ControlPlane): Promise<OwnerComponent> {
  const registry = new common.DisposalRegistry();
  const engines = registry.register(new EngineClient());
  const leavingVms = new LeavingVms(control);
  registry.register(() => {
    leavingVms.close();
  });
  const lease = registry.register(new Lease(context, control));
  const services: OwnerServices = { context, control, engines, lease };
  const planner = registry.register(new Planner(services, () => leavingVms.hints));
  const reconcilers = registry.register(
    new ReconcilerManager(services, new ReportAppender(context, control), {
      onLoaded: (load) => planner.post({ kind: 'loaded', load }),
      onFailed: (load) => planner.post({ kind: 'failed', load }),
      onStray: (target, present) => planner.post({ kind: 'stray', target, present }),
    }),
  );
  const components: OwnerComponents = { context, control, lease, planner, reconcilers: reconcilers };
  registerHandlers(components);
  const loads = registry.register(new LoadDigests(context.now, control, leavingVms));
  registry.register(
    new LoadCollector(context.now, control, (target) => {
      reportInconsistency(components, target);
    }),
  );
  registry.register(new VmWatcher(context, control, leavingVms));
  return Promise.resolve({
    client: new OwnerCaller(context, control, lease),
    loads,
    status: () => statusOf(components),
    release: () => release(components),
    [Symbol.asyncDispose]: () => registry[Symbol.asyncDispose](),
  });
}

function registerHandlers({ control, planner, reconcilers: reconcilers }: OwnerComponents): void {
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
      reconcilers.verify(parsed.data.target);
    }
    return Promise.resolve({});
  });
}

/** Reports an inconsistency of index and state to the owner, which verifies it before it appends any report. */
function reportInconsistency({ context, control }: OwnerComponents, target: common.TargetAddress): void {
  const owner = control.log.state.cells.get(context.settings.daemon.cell)?.owner ?? null;
  if (owner !== null) {
    void control.peers.call(owner, 'owner.verify', { target }, verifyTimeoutMs);
  }
}

async function release({ context, lease, planner, reconcilers: reconcilers }: OwnerComponents): Promise<void> {
  const deadlineMs = context.now() + releaseTimeoutMs;
  lease.stopClaiming();
  planner.stop();
  while ((planner.hasPendingDecisions || reconcilers.hasOwnOrders) && context.now() < deadlineMs) {
    await new Promise((resolve) => setTimeout(resolve, releaseCheckMs));
  }
  await lease.release();
}

function statusOf({ context, control, lease, planner }: OwnerComponents): OwnerStatus {
  const { cell } = context.settings.daemon;
  const entry = control.log.state.cells.get(cell);
  const nowMs = context.now();
  const { term: term } = planner;
  return {
    cell,
    isOwner: lease.currentClaim() !== undefined,
    owner: entry?.owner ?? null,
    claim: entry?.claim ?? null,
    queuedLoads: (term?.queue.ordered(nowMs) ?? []).map((queued) => ({
      model: EngineClient.modelName(queued.settings),
      urgency: queued.urgency,
      waitedMs: nowMs - queued.enqueuedMs,
    })),
    loadsPerSecond: term?.loadTokens.perSecond ?? context.settings.owner.loadsPerSecond,
  };
}
