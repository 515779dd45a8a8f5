/** Replay of edits of the configuration and of approvals of shared keys. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { parseConfigurationKey, type ConfigurationKey } from '../configuration/keys.js';
import { findValueError, isTooLong } from '../configuration/values.js';
import { shareOf } from '../configuration/settings.js';
import type * as types from '../Types.js';
import { accept, reject, rejection, type RejectedVerdict, type Step } from './verdicts.js';

/** Lines of the history that are kept. */
export const maximumHistoryEntries = 500;
/** Sums of decimal shares such as 0.1 + 0.2 + 0.7 may exceed 1 by rounding. */
const shareTolerance = 1e-9;

/** An edit takes effect if it is based on the value in force; an edit of a shared key waits for approval. */
export function replayEdited(state: types.ControlState, step: Step<types.ConfigurationEdited>): types.ReplayResult {
  const key = parseConfigurationKey(step.body.key);
  const refusal = checkEdit(state, step.body, key);
  if (refusal !== undefined) {
    return { state: addHistory(state, { ...historyEntry(step), rejectedBy: refusal.rule }), verdict: refusal };
  }
  const { key: name, value, partner, operator, reason, basedOn } = step.body;
  const entry = { key: name, value, partner, operator, reason, version: step.offset, clock: step.clock };
  if (key?.kind === 'share' && !isApproved(state, partner, [])) {
    const pending: types.PendingEdit = { ...entry, basedOn, approvedBy: [] };
    const recorded = addHistory(state, { ...historyEntry(step), pending: true });
    return accept({ ...recorded, pendingEdits: withPending(state.pendingEdits, pending) });
  }
  return accept(putInForce(addHistory(state, historyEntry(step)), entry));
}

/** Another partner agrees to a pending edit; the last approval checks again that its base is still in force. */
export function replayApproved(state: types.ControlState, step: Step<types.ConfigurationApproved>): types.ReplayResult {
  const { edit, partner } = step.body;
  const pending = state.pendingEdits.get(edit);
  if (pending === undefined) {
    return reject(state, 'unknownReference', `edit ${edit} is not pending`);
  }
  if (partner === pending.partner || !state.limits.partners.includes(partner)) {
    return reject(state, 'foreignKey', `partner ${partner} cannot approve edit ${edit}`);
  }
  if (pending.approvedBy.includes(partner)) {
    return reject(state, 'wrongState', `partner ${partner} has already approved edit ${edit}`);
  }
  const refusal = checkBase(state, pending) ?? checkShares(state, pending);
  if (refusal !== undefined) {
    return { state: withdraw(state, edit, refusal.rule), verdict: refusal };
  }
  const approvedBy = [...pending.approvedBy, partner];
  if (!isApproved(state, pending.partner, approvedBy)) {
    return accept(state, { pendingEdits: withEntry(state.pendingEdits, edit, { ...pending, approvedBy }) });
  }
  const { key, value, partner: author, operator, reason, version, clock } = pending;
  const settled = { ...state, pendingEdits: withoutEntry(state.pendingEdits, edit) };
  const updated = updateHistory(settled, edit, withoutPending);
  return accept(putInForce(updated, { key, value, partner: author, operator, reason, version, clock }));
}

function checkEdit(
  state: types.ControlState,
  edit: types.ConfigurationEdited,
  key: ConfigurationKey | undefined,
): RejectedVerdict | undefined {
  const { partners } = state.limits;
  if (key === undefined || !partners.includes(key.partner)) {
    return rejection('unknownKey', `key "${edit.key}" does not exist`);
  }
  if (!partners.includes(edit.partner) || (key.kind !== 'share' && key.partner !== edit.partner)) {
    return rejection('foreignKey', `key "${edit.key}" does not belong to partner ${edit.partner}`);
  }
  if (key.kind === 'exception' && edit.reason.trim() === '') {
    return rejection('missingReason', `exception "${edit.key}" needs a reason`);
  }
  const fault = findValueError(key, edit.value);
  if (fault !== undefined) {
    return rejection('invalidValue', `value of "${edit.key}": ${fault}`);
  }
  return checkBase(state, edit) ?? (key.kind === 'share' ? checkShares(state, edit) : undefined);
}

function checkBase(
  state: types.ControlState,
  edit: Pick<types.ConfigurationEdited, 'key' | 'basedOn'>,
): RejectedVerdict | undefined {
  const inForce = state.configuration.get(edit.key)?.version ?? null;
  if (edit.basedOn === inForce) {
    return undefined;
  }
  const winner = inForce ?? findRemoval(state, edit.key);
  const message = `edit of "${edit.key}" is based on ${edit.basedOn ?? 'none'}, but ${inForce ?? 'none'} is in force`;
  return rejection('staleEdit', message, winner);
}

function findRemoval(state: types.ControlState, key: string): types.Offset | undefined {
  return state.history.findLast((line) => line.key === key && line.rejectedBy === undefined && !line.pending)?.offset;
}

function checkShares(
  state: types.ControlState,
  edit: Pick<types.ConfigurationEdited, 'key' | 'value'>,
): RejectedVerdict | undefined {
  let sum = 0;
  for (const partner of state.limits.partners) {
    const isEdited = edit.key === `shared/share/${partner}`;
    sum += isEdited ? ((edit.value as number | null) ?? 0) : shareOf(state, partner);
  }
  return sum <= 1 + shareTolerance ? undefined : rejection('shareExceeded', `shares would add up to ${sum}`);
}

function isApproved(state: types.ControlState, proposer: string, approvedBy: readonly string[]): boolean {
  return state.limits.partners.every((partner) => partner === proposer || approvedBy.includes(partner));
}

/** A partner has one pending edit of a key: its newest. */
function withPending(
  edits: types.ControlState['pendingEdits'],
  pending: types.PendingEdit,
): types.ControlState['pendingEdits'] {
  const kept = new Map(edits);
  for (const [offset, edit] of edits) {
    if (edit.key === pending.key && edit.partner === pending.partner) {
      kept.delete(offset);
    }
  }
  return kept.set(pending.version, pending);
}

function putInForce(state: types.ControlState, entry: types.ConfigurationEntry): types.ControlState {
  const configuration =
    entry.value === null
      ? withoutEntry(state.configuration, entry.key)
      : withEntry(state.configuration, entry.key, entry);
  let updated: types.ControlState = { ...state, configuration };
  for (const [offset, pending] of state.pendingEdits) {
    if (pending.key === entry.key) {
      updated = withdraw(updated, offset, 'staleEdit');
    }
  }
  return updated;
}

function withdraw(state: types.ControlState, edit: types.Offset, rule: types.RejectionRule): types.ControlState {
  const withdrawn = { ...state, pendingEdits: withoutEntry(state.pendingEdits, edit) };
  return updateHistory(withdrawn, edit, (line) => ({ ...withoutPending(line), rejectedBy: rule }));
}

function historyEntry(step: Step<types.ConfigurationEdited>): types.EditHistoryEntry {
  const { key, partner, operator, value, reason } = step.body;
  // A rejected edit may carry any value; the state keeps only values of bounded size.
  const kept: unknown = isTooLong(value) ? null : value;
  return { offset: step.offset, key, partner, operator, value: kept, reason, clock: step.clock };
}

function addHistory(state: types.ControlState, line: types.EditHistoryEntry): types.ControlState {
  return { ...state, history: [...state.history, line].slice(-maximumHistoryEntries) };
}

function updateHistory(
  state: types.ControlState,
  edit: types.Offset,
  change: (line: types.EditHistoryEntry) => types.EditHistoryEntry,
): types.ControlState {
  return { ...state, history: state.history.map((line) => (line.offset === edit ? change(line) : line)) };
}

function withoutPending(line: types.EditHistoryEntry): types.EditHistoryEntry {
  const { offset, key, partner, operator, value, reason, clock } = line;
  return { offset, key, partner, operator, value, reason, clock };
}
