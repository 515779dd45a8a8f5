/** Replay of joining and leaving daemons. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { daemonLifecycle } from '../lifecycle/Lifecycle.js';
import type * as types from '../Types.js';
import { settleIncarnation } from './orders.js';
import { vacateCells } from './ownership.js';
import { accept, reject, type Step } from './verdicts.js';

/** Sequences of departed incarnations that are kept to recognise late duplicates of their records. */
const maximumDepartedSequences = 256;

/** A daemon joins; older incarnations of the same name count as replaced. */
export function replayJoined(state: types.ControlState, step: Step<types.DaemonJoined>): types.ReplayResult {
  const { daemon, vm, failureDomain, peers, operators } = step.body;
  const daemons = new Map(state.daemons);
  for (const [incarnation, entry] of daemons) {
    if (entry.daemon === daemon && daemonLifecycle.next(entry.state, 'successorJoined') !== undefined) {
      daemons.set(incarnation, { ...entry, state: 'replaced' });
    }
  }
  daemons.set(step.author, {
    incarnation: step.author,
    daemon,
    vm,
    failureDomain,
    peers,
    operators,
    state: 'joined',
    joinedAt: step.offset,
  });
  return accept(state, { daemons, lastSequences: pruneSequences(state.lastSequences, daemons) });
}

/** A daemon that left in order sends nothing more. */
export function replayLeft(state: types.ControlState, step: Step<types.DaemonLeft>): types.ReplayResult {
  return depart(state, step.author, 'daemonLeft');
}

/** An incarnation is known to send nothing more. */
export function replayGone(state: types.ControlState, step: Step<types.IncarnationGone>): types.ReplayResult {
  const { incarnation, evidence } = step.body;
  const entry = state.daemons.get(incarnation);
  if (entry === undefined) {
    return reject(state, 'unknownReference', `incarnation ${incarnation} is not joined`);
  }
  if (evidence === 'vmGone' && state.vms.has(entry.vm)) {
    return reject(state, 'wrongState', `VM ${entry.vm} is still listed`);
  }
  return depart(state, incarnation, evidence);
}

function depart(state: types.ControlState, incarnation: string, event: string): types.ReplayResult {
  const entry = state.daemons.get(incarnation);
  if (entry === undefined || daemonLifecycle.next(entry.state, event) === undefined) {
    return reject(state, 'wrongState', `${event} does not apply to incarnation ${incarnation}`);
  }
  const without = { ...state, daemons: withoutEntry(state.daemons, incarnation) };
  return accept(settleIncarnation(vacateCells(without, incarnation), incarnation));
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

/** Remembers the sequence of an applied record. */
export function recordSequence(state: types.ControlState, id: types.RecordId): types.ControlState {
  return { ...state, lastSequences: withEntry(state.lastSequences, id.incarnation, id.sequence) };
}
