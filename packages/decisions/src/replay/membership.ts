/** Replay of daemons that join and leave. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { daemonLifecycle } from '../lifecycle/Lifecycle.js';
import type * as types from '../Types.js';
import { settleIncarnation } from './orders.js';
import { releaseCells } from './ownership.js';
import { accept, reject, type TypedRecord } from './verdicts.js';

/** Number of departed incarnations whose last sequence is kept to recognise late duplicates of their records. */
const maximumDepartedSequences = 256;

/** Adds a daemon; older incarnations with the same name and the same peer address become `replaced`. */
export function replayDaemonJoined(
  state: types.ControlState,
  record: TypedRecord<types.DaemonJoined>,
): types.ReplayResult {
  const { daemon, vm, failureDomain, peers, operators } = record.body;
  const daemons = new Map(state.daemons);
  for (const [incarnation, entry] of daemons) {
    // Only a process that listens on the same port proves that the previous one has ended.
    const hasSameAddress = entry.peers.host === peers.host && entry.peers.port === peers.port;
    if (
      entry.daemon === daemon &&
      hasSameAddress &&
      daemonLifecycle.next(entry.state, 'successorJoined') !== undefined
    ) {
      daemons.set(incarnation, { ...entry, state: 'replaced' });
    }
  }
  daemons.set(record.author, {
    incarnation: record.author,
    daemon,
    vm,
    failureDomain,
    peers,
    operators,
    state: 'joined',
    joinedAt: record.offset,
  });
  return accept(state, { daemons, lastSequences: pruneSequences(state.lastSequences, daemons) });
}

/** Removes a daemon that stopped cleanly; it sends nothing after this record. */
export function replayDaemonLeft(state: types.ControlState, record: TypedRecord<types.DaemonLeft>): types.ReplayResult {
  return removeDaemon(state, record.author, 'daemonLeft');
}

/** Removes an incarnation for which there is evidence that it sends nothing more. */
export function replayIncarnationGone(
  state: types.ControlState,
  record: TypedRecord<types.IncarnationGone>,
): types.ReplayResult {
  const { incarnation, evidence } = record.body;
  const entry = state.daemons.get(incarnation);
  if (entry === undefined) {
    return reject(state, 'unknownReference', `incarnation ${incarnation} is not joined`);
  }
  if (evidence === 'vmGone' && state.vms.has(entry.vm)) {
    return reject(state, 'wrongState', `VM ${entry.vm} is still listed`);
  }
  return removeDaemon(state, incarnation, evidence);
}

function removeDaemon(state: types.ControlState, incarnation: string, event: string): types.ReplayResult {
  const entry = state.daemons.get(incarnation);
  if (entry === undefined || daemonLifecycle.next(entry.state, event) === undefined) {
    return reject(state, 'wrongState', `${event} does not apply to incarnation ${incarnation}`);
  }
  const remaining = { ...state, daemons: withoutEntry(state.daemons, incarnation) };
  return accept(settleIncarnation(releaseCells(remaining, incarnation), incarnation));
}

function pruneSequences(
  sequences: types.ControlState['lastSequences'],
  daemons: types.ControlState['daemons'],
): types.ControlState['lastSequences'] {
  let pruned = sequences;
  for (const incarnation of sequences.keys()) {
    if (pruned.size <= daemons.size + maximumDepartedSequences) {
      break;
    }
    if (!daemons.has(incarnation)) {
      pruned = withoutEntry(pruned, incarnation);
    }
  }
  return pruned;
}

/** Stores the sequence of an applied record, to recognise duplicates. */
export function recordSequence(state: types.ControlState, id: types.RecordId): types.ControlState {
  return { ...state, lastSequences: withEntry(state.lastSequences, id.incarnation, id.sequence) };
}
