/** Replay of the topic `control`: the one function that decides which records take effect, on every daemon alike. */
import { parseControlRecord } from '../records/parse.js';
import type * as types from '../Types.js';
import * as adapters from './adapters.js';
import * as configuration from './configuration.js';
import { defaultLimits, replayLimitsSet } from './limits.js';
import * as loads from './loads.js';
import * as membership from './membership.js';
import * as orders from './orders.js';
import * as ownership from './ownership.js';
import { reject, rejection } from './verdicts.js';
import * as vms from './vms.js';

/** State before the first record. */
export function emptyControlState(limits: types.ControlLimits = defaultLimits): types.ControlState {
  return {
    limits,
    appliedOffset: -1,
    lastSequences: new Map(),
    daemons: new Map(),
    cells: new Map(),
    vms: new Map(),
    replicas: new Map(),
    orders: new Map(),
    fences: new Map(),
    configuration: new Map(),
    pendingEdits: new Map(),
    history: [],
  };
}

/** Applies one record. A record at or below the applied offset, or with an old sequence, is a duplicate. */
export function replay(state: types.ControlState, record: types.ControlRecord): types.ReplayResult {
  if (record.offset <= state.appliedOffset) {
    return { state, verdict: { kind: 'duplicate' } };
  }
  const advanced = { ...state, appliedOffset: record.offset };
  const { id, body } = record;
  const lastSequence = state.lastSequences.get(id.incarnation);
  if (lastSequence !== undefined && id.sequence <= lastSequence) {
    return { state: advanced, verdict: { kind: 'duplicate' } };
  }
  if (body.kind !== 'daemonJoined' && !state.daemons.has(id.incarnation)) {
    return reject(advanced, 'unknownSender', `incarnation ${id.incarnation} has not joined or has left`);
  }
  if (body.kind === 'daemonJoined' && lastSequence !== undefined) {
    // The orders of an incarnation that left are settled, so it may not come back as a sender.
    return reject(advanced, 'wrongState', `incarnation ${id.incarnation} has joined before`);
  }
  return dispatch(membership.recordSequence(advanced, id), record);
}

/** Parses and applies a value read from the topic. A value that this version cannot parse has no effect. */
export function replayValue(state: types.ControlState, offset: types.Offset, value: unknown): types.ReplayResult {
  const parsed = parseControlRecord(value);
  if (parsed.ok) {
    return replay(state, { ...parsed.value, offset });
  }
  if (offset <= state.appliedOffset) {
    return { state, verdict: { kind: 'duplicate' } };
  }
  const { rule, message } = parsed.failure;
  return { state: { ...state, appliedOffset: offset }, verdict: rejection(rule, message) };
}

function dispatch(state: types.ControlState, record: types.ControlRecord): types.ReplayResult {
  const { offset, clock, body } = record;
  const step = { author: record.id.incarnation, offset, clock };
  switch (body.kind) {
    case 'daemonJoined':
      return membership.replayJoined(state, { ...step, body });
    case 'daemonLeft':
      return membership.replayLeft(state, { ...step, body });
    case 'incarnationGone':
      return membership.replayGone(state, { ...step, body });
    case 'ownerClaimed':
      return ownership.replayClaimed(state, { ...step, body });
    case 'ownerRenewed':
      return ownership.replayRenewed(state, { ...step, body });
    case 'ownerReleased':
      return ownership.replayReleased(state, { ...step, body });
    case 'vmObserved':
      return vms.replayVmObserved(state, { ...step, body });
    case 'loadDecided':
      return loads.replayLoadDecided(state, { ...step, body });
    case 'unloadDecided':
      return loads.replayUnloadDecided(state, { ...step, body });
    case 'orderAdopted':
      return orders.replayAdopted(state, { ...step, body });
    case 'orderSettled':
      return orders.replaySettled(state, { ...step, body });
    case 'fenceRaised':
      return orders.replayFence(state, { ...step, body });
    case 'replicaReady':
    case 'replicaFailed':
    case 'replicaUnloaded':
      return loads.replayReplicaReport(state, { ...step, body });
    case 'adapterLoadDecided':
      return adapters.replayAdapterLoadDecided(state, { ...step, body });
    case 'adapterReady':
      return adapters.replayAdapterReady(state, { ...step, body });
    case 'adapterUnloadDecided':
      return adapters.replayAdapterUnloadDecided(state, { ...step, body });
    case 'adapterUnloaded':
      return adapters.replayAdapterUnloaded(state, { ...step, body });
    case 'configurationEdited':
      return configuration.replayEdited(state, { ...step, body });
    case 'configurationApproved':
      return configuration.replayApproved(state, { ...step, body });
    case 'limitsSet':
      return replayLimitsSet(state, { ...step, body });
    default:
      return reject(state, 'unknownKind', 'record kind is not known');
  }
}
