import type { TableName } from '../contracts/MetadataStore.js';
import type { TableState } from '../replicas/TableState.js';
import type { PeerChannel } from './PeerChannel.js';
import type { TableOffsets } from './Types.js';

/**
 * Sends a peer the records of a table that it lacks. Full tables for every daemon that joins would saturate a slow link
 * for seconds, so a peer that has read the store receives only the changes since then, with the keys of all records if
 * this daemon may not know of all removals since then. The message is sent even without
 * changes, because it also confirms to the peer that it has caught up. A peer that has read another era of the store
 * learns only which era this daemon knows: the one that is behind reads the store itself.
 */
export function sendMissingRecords(
  channel: Pick<PeerChannel, 'send'>,
  table: TableName,
  state: TableState,
  readOffsets: TableOffsets,
  removalGraceMs: number,
): void {
  const { era, offset: end } = state.position;
  const whole = readOffsets[table] === 0;
  if (!whole && (readOffsets.eras?.[table] ?? era) !== era) {
    channel.send('table', { table, records: [], end: 0, whole: false, era });
    return;
  }
  const records = whole ? state.records() : state.recordsSince(readOffsets[table]);
  const presentKeys = whole ? undefined : state.keysIfIncompleteSince(readOffsets[table]);
  channel.send('table', { table, records, end, whole, era, removalGraceMs, ...(presentKeys && { presentKeys }) });
}
