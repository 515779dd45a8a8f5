/** Replay of the ownership of cells. Safety depends only on the order of the log; replay does not use leases. */
import { withEntry } from '../collections/copyOnWrite.js';
import type * as types from '../Types.js';
import { accept, reject, rejection, type TypedRecord } from './verdicts.js';

/** Accepts a claim only if it supersedes the latest accepted claim. */
export function replayOwnerClaimed(
  state: types.ControlState,
  record: TypedRecord<types.OwnerClaimed>,
): types.ReplayResult {
  const { cell, supersedes } = record.body;
  if (state.daemons.get(record.author)?.state !== 'joined') {
    return reject(state, 'wrongState', `incarnation ${record.author} is replaced`);
  }
  const latest = state.cells.get(cell)?.latestClaim ?? null;
  if (supersedes !== latest) {
    const message = `claim supersedes ${supersedes ?? 'none'}, but the latest claim is ${latest ?? 'none'}`;
    return reject(state, 'claimSuperseded', message, latest ?? undefined);
  }
  const entry: types.CellEntry = {
    cell,
    claim: record.offset,
    owner: record.author,
    latestClaim: record.offset,
    renewedAt: record.offset,
  };
  return accept(state, { cells: withEntry(state.cells, cell, entry) });
}

/** Applies the owner's renewal of its claim. */
export function replayOwnerRenewed(
  state: types.ControlState,
  record: TypedRecord<types.OwnerRenewed>,
): types.ReplayResult {
  return updateOwnedCell(state, record, (entry) => ({ ...entry, renewedAt: record.offset }));
}

/** Applies the owner's release of the cell; the next claim must still supersede the released one. */
export function replayOwnerReleased(
  state: types.ControlState,
  record: TypedRecord<types.OwnerReleased>,
): types.ReplayResult {
  return updateOwnedCell(state, record, (entry) => ({ ...entry, claim: null, owner: null }));
}

/** Releases every cell that a departed incarnation owns. */
export function releaseCells(state: types.ControlState, incarnation: string): types.ControlState {
  let cells = state.cells;
  for (const [cell, entry] of state.cells) {
    if (entry.owner === incarnation) {
      cells = withEntry(cells, cell, { ...entry, claim: null, owner: null });
    }
  }
  return { ...state, cells };
}

/** Rejects a decision that the owner did not make under the current claim; returns undefined if it did. */
export function checkClaim(
  state: types.ControlState,
  author: string,
  cell: types.CellName,
  claim: types.ClaimOffset,
): types.Verdict | undefined {
  const entry = state.cells.get(cell);
  if (entry === undefined || entry.latestClaim === null) {
    return rejection('notOwner', `cell ${cell} has no owner`);
  }
  if (claim !== entry.latestClaim) {
    return rejection('claimSuperseded', `claim ${claim} is superseded by ${entry.latestClaim}`, entry.latestClaim);
  }
  return entry.owner === author ? undefined : rejection('notOwner', `${author} does not own cell ${cell}`);
}

/** Rejects a record that only the current owner may write; returns undefined if the author owns a cell. */
export function checkOwner(state: types.ControlState, author: string): types.Verdict | undefined {
  // A superseded owner may have made its report before its successor sent another order.
  for (const entry of state.cells.values()) {
    if (entry.owner === author) {
      return undefined;
    }
  }
  return rejection('notOwner', `${author} does not own the cell`);
}

function updateOwnedCell(
  state: types.ControlState,
  record: TypedRecord<types.OwnerRenewed | types.OwnerReleased>,
  change: (entry: types.CellEntry) => types.CellEntry,
): types.ReplayResult {
  const { cell, claim } = record.body;
  const rejected = checkClaim(state, record.author, cell, claim);
  const entry = state.cells.get(cell);
  if (rejected !== undefined || entry === undefined) {
    return { state, verdict: rejected ?? rejection('notOwner', `cell ${cell} has no owner`) };
  }
  return accept(state, { cells: withEntry(state.cells, cell, change(entry)) });
}
