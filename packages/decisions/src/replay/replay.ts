/** Replay of the topic `control`. Decides which records take effect, with the same result on every daemon. */
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
    // The orders of an incarnation that left are settled, so it may not send orders again.
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
  const header = { author: record.id.incarnation, offset, clock };
  switch (body.kind) {
    case 'daemonJoined':
      return membership.replayDaemonJoined(state, { ...header, body });
    case 'daemonLeft':
      return membership.replayDaemonLeft(state, { ...header, body });
    case 'incarnationGone':
      return membership.replayIncarnationGone(state, { ...header, body });
    case 'ownerClaimed':
      return ownership.replayOwnerClaimed(state, { ...header, body });
    case 'ownerRenewed':
      return ownership.replayOwnerRenewed(state, { ...header, body });
    case 'ownerReleased':
      return ownership.replayOwnerReleased(state, { ...header, body });
    case 'vmObserved':
      return vms.replayVmObserved(state, { ...header, body });
    case 'loadDecided':
      return loads.replayLoadDecided(state, { ...header, body });
    case 'unloadDecided':
      return loads.replayUnloadDecided(state, { ...header, body });
    case 'orderAdopted':
      return orders.replayOrderAdopted(state, { ...header, body });
    case 'orderSettled':
      return orders.replayOrderSettled(state, { ...header, body });
    case 'fenceRaised':
      return orders.replayFenceRaised(state, { ...header, body });
    case 'replicaReady':
    case 'replicaFailed':
    case 'replicaUnloaded':
      return loads.replayReplicaReport(state, { ...header, body });
    case 'adapterLoadDecided':
      return adapters.replayAdapterLoadDecided(state, { ...header, body });
    case 'adapterReady':
      return adapters.replayAdapterReady(state, { ...header, body });
    case 'adapterUnloadDecided':
      return adapters.replayAdapterUnloadDecided(state, { ...header, body });
    case 'adapterUnloaded':
      return adapters.replayAdapterUnloaded(state, { ...header, body });
    case 'configurationEdited':
      return configuration.replayConfigurationEdited(state, { ...header, body });
    case 'configurationApproved':
      return configuration.replayConfigurationApproved(state, { ...header, body });
    case 'limitsSet':
      return replayLimitsSet(state, { ...header, body });
    default:
      return reject(state, 'unknownKind', 'record kind is not known');
  }
}
