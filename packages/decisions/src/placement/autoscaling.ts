/** Decides which replicas and adapters to unload, and which models to load without a waiting request. */
import * as queries from './queries.js';
import type * as common from '@jayhaven/common';
import type { DecisionReason, ModelSettings, ReplicaEntry, ReplicaId } from '../Types.js';
import { hasUnsettledOrder, isEvictable } from './evictions.js';
import { isOnLeavingVm } from './placeReplica.js';
import type { PlacementView } from './Types.js';

/** A replica is surplus if the others would use at most this share of their `requestsPerReplica`. */
const scaleDownUtilization = 0.7;

/** Replica to unload. */
export interface UnloadChoice {
  readonly replica: ReplicaId;
  readonly reason: DecisionReason;
}

/** Adapter to unload. */
export interface AdapterUnloadChoice {
  readonly replica: ReplicaId;
  readonly adapter: string;
}

/** Load that no request waits for. */
export interface ProactiveLoad {
  readonly settings: ModelSettings;
  readonly urgency: common.Urgency;
  /** Desired total number of replicas. */
  readonly replicas: number;
  readonly reason: DecisionReason;
}

/** Chooses the replicas to unload at present, at most one per model. */
export function chooseUnloads(view: PlacementView): readonly UnloadChoice[] {
  if (view.nowMs < view.evictAfterMs) {
    return [];
  }
  const choices = new Map<string, UnloadChoice>();
  for (const replica of view.state.replicas.values()) {
    const key = `${replica.partner}/${replica.model}`;
    const reason = choices.has(key) ? undefined : unloadReason(view, replica);
    if (reason !== undefined) {
      choices.set(key, { replica: replica.replica, reason });
    }
  }
  return [...choices.values()];
}

function unloadReason(view: PlacementView, replica: ReplicaEntry): DecisionReason | undefined {
  if (replica.state !== 'ready' || hasUnsettledOrder(view, replica)) {
    return undefined;
  }
  const settings = queries.modelSettings(view.state, replica.partner, replica.model);
  if (settings?.version !== replica.version) {
    return supersededReason(view, replica, settings);
  }
  return idleReason(view, replica, settings) ?? surplusReason(view, replica, settings);
}

/** A replica of a superseded version is unloaded once the configured version is ready or the replica is idle. */
function supersededReason(
  view: PlacementView,
  replica: ReplicaEntry,
  settings: ModelSettings | undefined,
): DecisionReason | undefined {
  const hasReplacement = settings === undefined || readyOnLiveVms(view, settings).length > 0;
  const idle = view.usageOf(replica).inFlight === 0;
  if (!hasReplacement && !idle) {
    return undefined;
  }
  return { rule: 'versionSuperseded', figures: { version: replica.version, configured: settings?.version ?? 'none' } };
}

function idleReason(view: PlacementView, replica: ReplicaEntry, settings: ModelSettings): DecisionReason | undefined {
  if (!isEvictable(view, replica)) {
    return undefined;
  }
  const usage = view.usageOf(replica);
  const readySinceMs = view.readySinceMs(replica.replica);
  const idleMs = view.nowMs - Math.max(usage.lastUsedMs, readySinceMs);
  const policyMs = view.policy.keepAliveMs(settings, usage, view.expectedLoadMs(settings, replica.target));
  // A replica that was not used since it became ready waits for its first request. Past gaps do not predict that wait.
  const keepAliveMs = readySinceMs > usage.lastUsedMs ? Math.max(settings.keepAliveMs, policyMs) : policyMs;
  if (idleMs < keepAliveMs) {
    return undefined;
  }
  return {
    rule: 'idle',
    figures: { policy: view.policy.name, idleMs: Math.round(idleMs), keepAliveMs: Math.round(keepAliveMs) },
  };
}

/** The newest replica is surplus if the others can also handle the peak load of the last minutes. */
function surplusReason(
  view: PlacementView,
  replica: ReplicaEntry,
  settings: ModelSettings,
): DecisionReason | undefined {
  const ready = readyOnLiveVms(view, settings);
  const remaining = ready.length - 1;
  const newest = Math.max(...ready);
  if (remaining < Math.max(1, settings.minimumReplicas) || replica.replica !== newest) {
    return undefined;
  }
  const { peakInFlight } = view.usageOf(replica);
  const readyForMs = view.nowMs - view.readySinceMs(replica.replica);
  const capacity = settings.requestsPerReplica * remaining * scaleDownUtilization;
  if (peakInFlight > capacity || readyForMs < settings.keepAliveMs) {
    return undefined;
  }
  return { rule: 'surplus', figures: { peakInFlight, ready: ready.length, capacity } };
}

/** Chooses the adapters that were not used within the keep-alive time of their model. */
export function chooseAdapterUnloads(view: PlacementView): readonly AdapterUnloadChoice[] {
  if (view.nowMs < view.evictAfterMs) {
    return [];
  }
  return [...view.state.replicas.values()].flatMap((replica) => {
    const settings = queries.modelSettings(view.state, replica.partner, replica.model);
    const usage = view.usageOf(replica);
    return [...replica.adapters.values()].flatMap(({ adapter, state }) => {
      const busy = (usage.adaptersInFlight.get(adapter) ?? 0) > 0;
      const sinceMs = usage.adaptersLastUsedMs.get(adapter) ?? view.readySinceMs(replica.replica);
      const idle = view.nowMs - sinceMs > (settings?.keepAliveMs ?? 0);
      const due = replica.state === 'ready' && state === 'ready' && !busy && idle;
      return due ? [{ replica: replica.replica, adapter }] : [];
    });
  });
}

/** Chooses the loads that are due without a waiting request. */
export function chooseLoads(view: PlacementView): readonly ProactiveLoad[] {
  return queries.allModels(view.state).flatMap((settings) => {
    const existing = queries.replicasOf(view.state, settings);
    if (queries.replicasTowardMaximum(view.state, settings).length >= settings.maximumReplicas) {
      return [];
    }
    return (
      minimumReplicasLoad(view, settings) ??
      scaleUpLoad(view, settings) ??
      replacementLoad(view, settings) ??
      prewarmLoad(view, settings, existing.length) ??
      []
    );
  });
}

function minimumReplicasLoad(view: PlacementView, settings: ModelSettings): ProactiveLoad | undefined {
  const staying = countOnLiveVms(view, settings);
  const wanted = Math.min(settings.minimumReplicas, settings.maximumReplicas);
  return staying < wanted
    ? {
        settings,
        urgency: 'batch',
        replicas: wanted,
        reason: { rule: 'minimumReplicas', figures: { staying, wanted } },
      }
    : undefined;
}

function scaleUpLoad(view: PlacementView, settings: ModelSettings): ProactiveLoad | undefined {
  const ready = readyOnLiveVms(view, settings).length;
  const { inFlight } = view.usageOf(settings);
  const wanted = Math.min(settings.maximumReplicas, Math.ceil(inFlight / settings.requestsPerReplica));
  if (ready === 0 || countOnLiveVms(view, settings) >= wanted) {
    return undefined;
  }
  const figures = { inFlight, ready, requestsPerReplica: settings.requestsPerReplica };
  return { settings, urgency: settings.urgency, replicas: wanted, reason: { rule: 'scaleUp', figures } };
}

function replacementLoad(view: PlacementView, settings: ModelSettings): ProactiveLoad | undefined {
  const existing = queries.replicasOf(view.state, settings);
  const leaving = existing.filter((replica) => isOnLeavingVm(view, replica.replica)).length;
  if (leaving === 0 || countOnLiveVms(view, settings) > 0 || !shouldStayLoaded(view, settings)) {
    return undefined;
  }
  return { settings, urgency: settings.urgency, replicas: 1, reason: { rule: 'vmLeaving', figures: { leaving } } };
}

function prewarmLoad(view: PlacementView, settings: ModelSettings, existing: number): ProactiveLoad | undefined {
  const usage = view.usageOf(settings);
  const loadMs = view.expectedLoadMs(settings);
  const afterMs = view.policy.prewarmAfterMs(settings, usage, loadMs);
  const idleMs = view.nowMs - usage.lastUsedMs;
  // If the due time passed more than one keep-alive time ago, the expected request did not arrive.
  if (existing > 0 || afterMs === undefined || idleMs < afterMs || idleMs > afterMs + settings.keepAliveMs) {
    return undefined;
  }
  const figures = { idleMs: Math.round(idleMs), afterMs: Math.round(afterMs), loadMs: Math.round(loadMs) };
  return { settings, urgency: 'batch', replicas: 1, reason: { rule: 'prewarm', figures } };
}

/** Whether the model was used within its keep-alive time or has a minimum number of replicas. */
function shouldStayLoaded(view: PlacementView, settings: ModelSettings): boolean {
  const usage = view.usageOf(settings);
  return settings.minimumReplicas > 0 || view.nowMs - usage.lastUsedMs < settings.keepAliveMs;
}

function readyOnLiveVms(view: PlacementView, settings: ModelSettings): readonly ReplicaId[] {
  return queries
    .replicasOf(view.state, settings)
    .filter((replica) => replica.state === 'ready' && !isOnLeavingVm(view, replica.replica))
    .map((replica) => replica.replica);
}

function countOnLiveVms(view: PlacementView, settings: ModelSettings): number {
  return queries
    .replicasOf(view.state, settings)
    .filter((replica) => replica.state !== 'unloading' && !isOnLeavingVm(view, replica.replica)).length;
}
