/** Answers the wake requests of entry daemons that need a loaded model. */
import * as decisions from '@jayhaven/decisions';
import type { WakeAnswer, WakeRequest } from '../Types.js';
import type { AdapterPlanner } from './AdapterPlanner.js';
import { OwnershipTerm } from './OwnershipTerm.js';
import type { OwnerServices } from './OwnerServices.js';

/** Expected load time of an adapter, milliseconds. */
const adapterLoadMs = 20;
/** Estimates vary: requests that already wait are refused only beyond this multiple of their remaining time. */
const estimateTolerance = 1.25;
/** Retry time for a model or adapter that is not configured, milliseconds. */
const unknownRetryMs = 60_000;
const queueFullRetryMs = 2_000;
const noRoomRetryMs = 5_000;

/** Answers one wake request and queues the load that it needs. */
export function answerWake(
  services: OwnerServices,
  term: OwnershipTerm,
  adapters: AdapterPlanner,
  request: WakeRequest,
  nowMs: number,
): WakeAnswer {
  const settings = decisions.modelSettings(services.control.log.state, request.partner, request.model);
  const modelName = `${request.partner}/${request.model}`;
  if (settings === undefined) {
    return refuse('model_unknown', `model ${modelName} is not configured`, unknownRetryMs);
  }
  const adapter = request.adapter === undefined ? undefined : settings.adapters.get(request.adapter);
  if (request.adapter !== undefined && adapter === undefined) {
    return refuse('adapter_unknown', `model ${modelName} has no adapter ${request.adapter}`, unknownRetryMs);
  }
  term.usage.touch(settings, request.adapter, nowMs);
  if (adapter !== undefined && !adapters.requestLoad(settings, adapter, request.urgency, nowMs)) {
    return refuse('queue_full', 'too many adapters wait to be loaded', queueFullRetryMs);
  }
  const answer = answerForModel(term, settings, request, nowMs);
  if (answer.kind === 'refused' || adapter === undefined) {
    return answer;
  }
  return answerForAdapter(term, settings, adapter, answer.readyInMs, nowMs);
}

function answerForModel(
  term: OwnershipTerm,
  settings: decisions.ModelSettings,
  request: WakeRequest,
  nowMs: number,
): WakeAnswer {
  const { urgency, remainingMs } = request;
  if (term.queue.has(settings)) {
    // Daemons repeat their wake requests every second; these repetitions need no new placement.
    return answerForQueued(term, settings, request, term.loadTimes.expectedMs(settings), nowMs);
  }
  const view = term.view(nowMs, OwnershipTerm.modelKey(settings));
  const placement = decisions.placeReplica(view, { settings, urgency, remainingMs, replicas: 1 });
  if (placement.kind === 'refuse') {
    return refuse(placement.type, placement.message, placement.retryAfterMs);
  }
  if (placement.kind === 'served' && placement.state === 'ready') {
    return { kind: 'expected', readyInMs: 0 };
  }
  if (placement.kind === 'served') {
    return answerWithinTime(
      settings,
      term.remainingLoadMs(settings, placement.replica, nowMs),
      remainingMs * estimateTolerance,
    );
  }
  if (term.isRefused(settings, nowMs)) {
    const message = `no target has room for model ${modelNameOf(settings)}: all replicas that could be evicted are in use`;
    return refuse('model_no_room', message, noRoomRetryMs);
  }
  const pauseMs = term.failurePauseMs(settings, nowMs);
  if (pauseMs !== undefined) {
    return refuse('model_load_failed', `model ${modelNameOf(settings)} failed to load repeatedly`, pauseMs);
  }
  const loadMs = placement.kind === 'evict' ? term.loadTimes.expectedMs(settings) + 500 : placement.expectedMs;
  return answerForQueued(term, settings, request, loadMs, nowMs);
}

/** Queues the model, or renews its entry, and estimates when it is ready. */
function answerForQueued(
  term: OwnershipTerm,
  settings: decisions.ModelSettings,
  request: WakeRequest,
  expectedLoadMs: number,
  nowMs: number,
): WakeAnswer {
  const { urgency, remainingMs, waiting } = request;
  // The loads in progress reveal a slow weight store before the first of them has finished.
  const loadMs = expectedLoadMs * term.slowdown(nowMs);
  const isQueued = term.queue.has(settings) || term.pendingLoads.has(OwnershipTerm.modelKey(settings));
  const position = term.queue.position(settings, nowMs);
  const waitMs = Math.max(term.loadTokens.waitMs(position, nowMs), term.slotWaitMs(position, loadMs, nowMs));
  const answer = answerWithinTime(settings, waitMs + loadMs, isQueued ? remainingMs * estimateTolerance : remainingMs);
  // A model whose load alone exceeds the deadline is loaded nevertheless: the caller may retry when it is ready.
  if (answer.kind === 'refused' && loadMs <= remainingMs) {
    return answer;
  }
  const keepMs = Math.max(remainingMs, waitMs + loadMs);
  if (!term.queue.add({ settings, urgency, replicas: 1, remainingMs: keepMs, waiting }, nowMs)) {
    return refuse('queue_full', 'too many models wait to be loaded', queueFullRetryMs);
  }
  return answer;
}

function answerForAdapter(
  term: OwnershipTerm,
  settings: decisions.ModelSettings,
  adapter: decisions.AdapterSettings,
  modelReadyInMs: number,
  nowMs: number,
): WakeAnswer {
  const placement = decisions.placeAdapter(term.view(nowMs), settings, adapter.adapter, adapter.bytes);
  if (modelReadyInMs === 0 && placement.kind === 'noRoom') {
    const message = `no replica of ${modelNameOf(settings)} has room for adapter ${adapter.adapter}`;
    return refuse('adapter_no_room', message, queueFullRetryMs);
  }
  const ready = placement.kind === 'served' && placement.state === 'ready';
  return { kind: 'expected', readyInMs: ready ? 0 : modelReadyInMs + adapterLoadMs };
}

function answerWithinTime(settings: decisions.ModelSettings, readyInMs: number, remainingMs: number): WakeAnswer {
  if (readyInMs <= remainingMs) {
    return { kind: 'expected', readyInMs };
  }
  const figures = `expected in ${Math.round(readyInMs)} ms, ${Math.round(remainingMs)} ms remain`;
  return refuse('model_cold_no_time', `model ${modelNameOf(settings)} is not loaded: ${figures}`, readyInMs);
}

function refuse(type: string, message: string, retryAfterMs: number): WakeAnswer {
  return { kind: 'refused', type, message, retryAfterMs: Math.ceil(retryAfterMs) };
}

function modelNameOf(settings: decisions.ModelSettings): string {
  return `${settings.partner}/${settings.model}`;
}
