/** Replay of the limits. They come from the log, so that daemons with different settings reach the same verdicts. */
import type * as types from '../Types.js';
import { checkOwner } from './ownership.js';
import { accept, reject, type TypedRecord } from './verdicts.js';

/** Limits that apply before the first `limitsSet` record. They list no partner, so no edit is accepted. */
export const defaultLimits: types.ControlLimits = {
  maximumConcurrentLoads: 4,
  maximumAdaptersInTransit: 30,
  partners: [],
};

/** Whether two sets of limits have the same effect; the order of the partners does not matter. */
export function areSameLimits(first: types.ControlLimits, second: types.ControlLimits): boolean {
  return (
    first.maximumConcurrentLoads === second.maximumConcurrentLoads &&
    first.maximumAdaptersInTransit === second.maximumAdaptersInTransit &&
    first.partners.length === second.partners.length &&
    first.partners.every((partner) => second.partners.includes(partner))
  );
}

/** Any daemon may set the first limits, because edits are possible before the cell has an owner. */
export function replayLimitsSet(state: types.ControlState, record: TypedRecord<types.LimitsSet>): types.ReplayResult {
  const { basedOn, limits } = record.body;
  const latest = state.limitsSetAt ?? null;
  if (basedOn !== latest) {
    const message = `limits are based on ${basedOn ?? 'none'}, but ${latest ?? 'none'} is in force`;
    return reject(state, 'wrongState', message, latest ?? undefined);
  }
  const rejected = latest === null ? undefined : checkOwner(state, record.author);
  if (rejected !== undefined) {
    return { state, verdict: rejected };
  }
  const removed = state.limits.partners.find((partner) => !limits.partners.includes(partner));
  if (removed !== undefined && hasConfiguration(state, removed)) {
    // Otherwise the settings of one daemon could exclude the partner from the approval of shared keys.
    return reject(state, 'wrongState', `partner ${removed} has configuration, so it cannot be left out`);
  }
  return accept(state, { limits, limitsSetAt: record.offset });
}

function hasConfiguration(state: types.ControlState, partner: string): boolean {
  const entries = [...state.configuration.values(), ...state.pendingEdits.values()];
  return entries.some(
    (entry) =>
      entry.partner === partner || entry.key.startsWith(`${partner}/`) || entry.key === `shared/share/${partner}`,
  );
}
