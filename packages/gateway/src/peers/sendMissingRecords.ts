import type { TableName } from '../contracts/MetadataStore.js';
import type { TableState } from '../replicas/TableState.js';
import type { PeerChannel } from './PeerChannel.js';
import type { TableOffsets } from './Types.js';

/**
 * Tells a peer what it lacks of a table. Whole tables for every daemon that joins would fill a small link for seconds, so
 * one that has read the store gets only the changes since. The message goes out without changes as well, because the
 * peer then knows that it has caught up.
 */
export function sendMissingRecords(
  channel: Pick<PeerChannel, 'send'>,
  table: TableName,
  state: TableState,
  readOffsets: TableOffsets,
): void {
  const whole = readOffsets[table] === 0;
  const records = whole ? state.records() : state.recordsSince(readOffsets[table]);
  channel.send('table', { table, records, end: state.end, whole });
}
