/** Decides on which target a replica is loaded, what is evicted for it, and whether it has to wait or is refused. */
import * as queries from './queries.js';
import type { AcceleratorBytes, DecisionReason, ModelSettings, ReplicaId } from '../Types.js';
import { domainsWithReplica, liveEngines, excludedTargets } from './candidates.js';
import { planEviction, type EvictionPlan } from './evictions.js';
import { addBytes, fitBytes, sumBytes } from './fitting.js';
import type { CandidateTarget, Placement, PlacementRequest, PlacementView } from './Types.js';

/** Load times within this factor count as equal, so that the best fit decides between the targets. */
const similarLoadFactor = 1.25;
/** Retry delay if no change is expected soon, milliseconds. */
const noRoomRetryMs = 10_000;
/** Retry delay for a model that fits on no target until the configuration or the VMs change, milliseconds. */
const neverFitsRetryMs = 60_000;
/** Usage is reported each second, so replicas that became idle are known to be idle within this time, milliseconds. */
const inUseWaitLimitMs = 2_500;
/** Time allowed for draining and unloading before a load, milliseconds. */
const unloadAllowanceMs = 500;

interface PlacementOption {
  readonly target: CandidateTarget;
  readonly bytes: AcceleratorBytes;
  readonly expectedMs: number;
  readonly leftoverBytes: number;
  readonly sharesDomain: boolean;
}

/** Places one more replica of a model, unless it already has the desired number. */
export function placeReplica(view: PlacementView, request: PlacementRequest): Placement {
  const { settings } = request;
  const existing = queries.replicasOf(view.state, settings);
  const onLiveVms = existing.filter((replica) => !isOnLeavingVm(view, replica.replica));
  const usable =
    onLiveVms.find((replica) => replica.state === 'ready') ?? onLiveVms.find((replica) => replica.state === 'loading');
  if (usable !== undefined && onLiveVms.length >= request.replicas) {
    return { kind: 'served', replica: usable.replica, state: usable.state === 'ready' ? 'ready' : 'loading' };
  }
  const countTowardMaximum = queries.replicasTowardMaximum(view.state, settings).length;
  if (countTowardMaximum >= settings.maximumReplicas) {
    return waitForUnload(view, request, countTowardMaximum);
  }
  return placeOnTarget(view, request, existing.length + 1);
}

/** Whether the VM of a replica accepts no new work. */
export function isOnLeavingVm(view: PlacementView, id: ReplicaId): boolean {
  const vm = view.state.replicas.get(id)?.vm;
  return vm !== undefined && (view.leavingVms.has(vm) || view.state.vms.get(vm)?.state !== 'live');
}

function placeOnTarget(view: PlacementView, request: PlacementRequest, ordinal: number): Placement {
  const { settings } = request;
  const engines = liveEngines(view);
  const largeEnough = engines.filter((engine) => fitBytes(settings, engine.acceleratorBytes) !== undefined);
  if (largeEnough.length === 0) {
    return neverFits(request, engines.length);
  }
  const excluded = excludedTargets(view, settings);
  const allowed = largeEnough.filter((engine) => !excluded.has(engine.address));
  const unblocked = allowed.filter((engine) => !view.blockedTargets.has(engine.address));
  const option = bestOption(view, settings, unblocked);
  if (option !== undefined) {
    return loadOn(request, option, ordinal, unblocked.length);
  }
  const eviction = cheapestEviction(view, request, unblocked);
  if (eviction !== undefined) {
    return evictFor(view, request, eviction);
  }
  if (allowed.length > unblocked.length || allowed.some((engine) => fitsAfterUnloads(view, settings, engine))) {
    return waitForRoom(view, request);
  }
  if (unblocked.some((engine) => planEviction(view, request, engine, 'ignoreUse') !== undefined)) {
    return waitForIdleReplica(view, request);
  }
  if (largeEnough.some((engine) => excluded.get(engine.address) === 'unsettledOrder')) {
    return waitForOrderSettlement(view, request);
  }
  return noRoom(request, largeEnough.length);
}

function bestOption(
  view: PlacementView,
  settings: ModelSettings,
  engines: readonly CandidateTarget[],
): PlacementOption | undefined {
  const domains = domainsWithReplica(view, settings);
  const options: PlacementOption[] = [];
  for (const target of engines) {
    const free = queries.freeBytes(view.state, target.address);
    const bytes = fitBytes(settings, free);
    if (bytes !== undefined) {
      options.push({
        target,
        bytes,
        expectedMs: view.expectedLoadMs(settings, target.address),
        leftoverBytes: leftoverBytesOf(free, bytes),
        sharesDomain: domains.has(target.failureDomain),
      });
    }
  }
  const fastestMs = Math.min(...options.map((option) => option.expectedMs));
  return options.sort((first, second) => compareOptions(first, second, fastestMs))[0];
}

/** Free memory left on the accelerators that the model uses. */
function leftoverBytesOf(free: AcceleratorBytes, bytes: AcceleratorBytes): number {
  return sumBytes(free.map((available, index) => ((bytes[index] ?? 0) > 0 ? available - (bytes[index] ?? 0) : 0)));
}

function compareOptions(first: PlacementOption, second: PlacementOption, fastestMs: number): number {
  return (
    Number(first.sharesDomain) - Number(second.sharesDomain) ||
    Number(first.expectedMs > fastestMs * similarLoadFactor) -
      Number(second.expectedMs > fastestMs * similarLoadFactor) ||
    first.leftoverBytes - second.leftoverBytes ||
    (first.target.address < second.target.address ? -1 : 1)
  );
}

function loadOn(request: PlacementRequest, option: PlacementOption, ordinal: number, candidates: number): Placement {
  const reason: DecisionReason = {
    rule: ordinal > 1 ? 'spreadThenTierThenBestFit' : 'tierThenBestFit',
    figures: {
      candidates,
      expectedMs: Math.round(option.expectedMs),
      leftoverBytes: option.leftoverBytes,
      sharesDomain: option.sharesDomain ? 'yes' : 'no',
      urgency: request.urgency,
    },
  };
  return {
    kind: 'load',
    target: option.target.address,
    bytes: option.bytes,
    ordinal,
    expectedMs: option.expectedMs,
    reason,
  };
}

function cheapestEviction(
  view: PlacementView,
  request: PlacementRequest,
  engines: readonly CandidateTarget[],
): EvictionPlan | undefined {
  const plans = engines.flatMap((engine) => planEviction(view, request, engine) ?? []);
  return plans.sort(
    (first, second) => first.cost - second.cost || (first.target.address < second.target.address ? -1 : 1),
  )[0];
}

function evictFor(view: PlacementView, request: PlacementRequest, plan: EvictionPlan): Placement {
  return {
    kind: 'evict',
    target: plan.target.address,
    victims: plan.victims.map((victim) => victim.replica),
    reason: {
      rule: 'leastReloadCostPerByte',
      figures: {
        for: `${request.settings.partner}/${request.settings.model}`,
        cost: plan.cost,
        victims: plan.victims.length,
        freedBytes: plan.victims.reduce((sum, victim) => sum + sumBytes(victim.bytes), 0),
        expectedMs: view.expectedLoadMs(request.settings, plan.target.address),
      },
    },
  };
}

/** Whether the model fits once the unloads in progress on the target are done. */
function fitsAfterUnloads(view: PlacementView, settings: ModelSettings, target: CandidateTarget): boolean {
  let free = queries.freeBytes(view.state, target.address);
  for (const replica of view.state.replicas.values()) {
    if (replica.target === target.address && replica.state === 'unloading') {
      free = addBytes(free, replica.bytes);
    }
  }
  return fitBytes(settings, free) !== undefined;
}

function waitForUnload(view: PlacementView, request: PlacementRequest, existing: number): Placement {
  const expectedMs = view.expectedLoadMs(request.settings) + unloadAllowanceMs;
  const figures = { existing, maximumReplicas: request.settings.maximumReplicas };
  return { kind: 'wait', expectedMs, reason: { rule: 'replicaSlotTaken', figures } };
}

function waitForRoom(view: PlacementView, request: PlacementRequest): Placement {
  const expectedMs = view.expectedLoadMs(request.settings) + unloadAllowanceMs;
  return { kind: 'wait', expectedMs, reason: { rule: 'roomExpected', figures: { allowanceMs: unloadAllowanceMs } } };
}

/** Replicas that are in use, or whose usage is not known yet, may become idle soon. */
function waitForIdleReplica(view: PlacementView, request: PlacementRequest): Placement {
  const graceMs = Math.max(0, view.evictAfterMs - view.nowMs);
  const expectedMs = view.expectedLoadMs(request.settings) + unloadAllowanceMs + graceMs;
  const reason = { rule: 'replicasInUse', figures: { graceMs, patienceMs: inUseWaitLimitMs } };
  return { kind: 'wait', expectedMs, waitLimitMs: graceMs + inUseWaitLimitMs, reason };
}

/** An unsettled order for the model on a target is usually settled soon, unless its sender is paused. */
function waitForOrderSettlement(view: PlacementView, request: PlacementRequest): Placement {
  const expectedMs = view.expectedLoadMs(request.settings) + unloadAllowanceMs;
  const reason = { rule: 'orderUnsettled', figures: { patienceMs: inUseWaitLimitMs } };
  return { kind: 'wait', expectedMs, waitLimitMs: inUseWaitLimitMs, reason };
}

function noRoom(request: PlacementRequest, candidates: number): Placement {
  const name = `${request.settings.partner}/${request.settings.model}`;
  return {
    kind: 'refuse',
    type: 'model_no_room',
    message: `no target has room for model ${name} and no replica may be evicted for it`,
    retryAfterMs: noRoomRetryMs,
    reason: { rule: 'noRoom', figures: { candidates } },
  };
}

function neverFits(request: PlacementRequest, engines: number): Placement {
  const { settings } = request;
  return {
    kind: 'refuse',
    type: 'model_never_fits',
    message: `model ${settings.partner}/${settings.model} fits on none of ${engines} live engines`,
    retryAfterMs: neverFitsRetryMs,
    reason: {
      rule: 'neverFits',
      figures: { engines, accelerators: settings.weightBytes.length, bytes: sumBytes(settings.weightBytes) },
    },
  };
}
