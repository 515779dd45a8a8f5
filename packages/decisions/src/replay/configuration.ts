/** Replay of edits of the configuration and of approvals of shared keys. */
import { withEntry, withoutEntry } from '../collections/copyOnWrite.js';
import { parseConfigurationKey, type ConfigurationKey } from '../configuration/keys.js';
import { findValueError, isTooLong } from '../configuration/values.js';
import { shareOf } from '../configuration/settings.js';
import type * as types from '../Types.js';
import { accept, reject, rejection, type RejectedVerdict, type TypedRecord } from './verdicts.js';

/** Maximum number of entries in the edit history; older entries are removed. */
export const maximumHistoryEntries = 500;
/** Tolerance for rounding: a sum of decimal shares such as 0.1 + 0.2 + 0.7 may exceed 1. */
const shareTolerance = 1e-9;

/** Applies an edit that is based on the current value; an edit of a shared key stays pending until it is approved. */
export function replayConfigurationEdited(
  state: types.ControlState,
  record: TypedRecord<types.ConfigurationEdited>,
): types.ReplayResult {
  const key = parseConfigurationKey(record.body.key);
  const rejected = checkEdit(state, record.body, key);
  if (rejected !== undefined) {
    return {
      state: addHistory(state, { ...createHistoryEntry(record), rejectedBy: rejected.rule }),
      verdict: rejected,
    };
  }
  const { key: name, value, partner, operator, reason, basedOn } = record.body;
  const entry = { key: name, value, partner, operator, reason, version: record.offset, clock: record.clock };
  if (key?.kind === 'share' && !isApproved(state, partner, [])) {
    const pending: types.PendingEdit = { ...entry, basedOn, approvedBy: [] };
    const recorded = addHistory(state, { ...createHistoryEntry(record), pending: true });
    return accept({ ...recorded, pendingEdits: replacePendingEdit(state.pendingEdits, pending) });
  }
  return accept(applyEntry(addHistory(state, createHistoryEntry(record)), entry));
}

/** Adds an approval to a pending edit. Each approval checks the base version and the sum of the shares again. */
export function replayConfigurationApproved(
  state: types.ControlState,
  record: TypedRecord<types.ConfigurationApproved>,
): types.ReplayResult {
  const { edit, partner } = record.body;
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
  const rejected = checkBase(state, pending) ?? checkShares(state, pending);
  if (rejected !== undefined) {
    return { state: withdrawEdit(state, edit, rejected.rule), verdict: rejected };
  }
  const approvedBy = [...pending.approvedBy, partner];
  if (!isApproved(state, pending.partner, approvedBy)) {
    return accept(state, { pendingEdits: withEntry(state.pendingEdits, edit, { ...pending, approvedBy }) });
  }
  const { key, value, partner: proposer, operator, reason, version, clock } = pending;
  const settled = { ...state, pendingEdits: withoutEntry(state.pendingEdits, edit) };
  const updated = updateHistory(settled, edit, withoutPendingMark);
  return accept(applyEntry(updated, { key, value, partner: proposer, operator, reason, version, clock }));
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
  const currentVersion = state.configuration.get(edit.key)?.version ?? null;
  if (edit.basedOn === currentVersion) {
    return undefined;
  }
  const winner = currentVersion ?? findLastAcceptedEdit(state, edit.key);
  const message = `edit of "${edit.key}" is based on ${edit.basedOn ?? 'none'}, but ${currentVersion ?? 'none'} is in force`;
  return rejection('staleEdit', message, winner);
}

function findLastAcceptedEdit(state: types.ControlState, key: string): types.Offset | undefined {
  return state.history.findLast((entry) => entry.key === key && entry.rejectedBy === undefined && !entry.pending)
    ?.offset;
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

/** Adds a pending edit. It replaces an earlier pending edit of the same key by the same partner. */
function replacePendingEdit(
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

function applyEntry(state: types.ControlState, entry: types.ConfigurationEntry): types.ControlState {
  const configuration =
    entry.value === null
      ? withoutEntry(state.configuration, entry.key)
      : withEntry(state.configuration, entry.key, entry);
  let updated: types.ControlState = { ...state, configuration };
  for (const [offset, pending] of state.pendingEdits) {
    if (pending.key === entry.key) {
      updated = withdrawEdit(updated, offset, 'staleEdit');
    }
  }
  return updated;
}

function withdrawEdit(state: types.ControlState, edit: types.Offset, rule: types.RejectionRule): types.ControlState {
  const withdrawn = { ...state, pendingEdits: withoutEntry(state.pendingEdits, edit) };
  return updateHistory(withdrawn, edit, (entry) => ({ ...withoutPendingMark(entry), rejectedBy: rule }));
}

function createHistoryEntry(record: TypedRecord<types.ConfigurationEdited>): types.EditHistoryEntry {
  const { key, partner, operator, value, reason } = record.body;
  // A rejected edit may carry any value; the state keeps only values of bounded size.
  const boundedValue: unknown = isTooLong(value) ? null : value;
  return { offset: record.offset, key, partner, operator, value: boundedValue, reason, clock: record.clock };
}

function addHistory(state: types.ControlState, entry: types.EditHistoryEntry): types.ControlState {
  return { ...state, history: [...state.history, entry].slice(-maximumHistoryEntries) };
}

function updateHistory(
  state: types.ControlState,
  edit: types.Offset,
  change: (entry: types.EditHistoryEntry) => types.EditHistoryEntry,
): types.ControlState {
  return { ...state, history: state.history.map((entry) => (entry.offset === edit ? change(entry) : entry)) };
}

function withoutPendingMark(entry: types.EditHistoryEntry): types.EditHistoryEntry {
  const { offset, key, partner, operator, value, reason, clock } = entry;
  return { offset, key, partner, operator, value, reason, clock };
}
