import type * as common from '@jayhaven/common';
import type { TableRecord } from '../contracts/MetadataStore.js';
import { ungroupOrigins } from './OriginTable.js';
import { batchSlot, decodeBatch, decodeHistory, type HistoryRecord, historyKey } from './StreamRecords.js';
import type { StreamOrigin } from './Types.js';

/** The stored records of streams. */
export interface StoredStreams {
  readonly history: HistoryRecord | undefined;
  readonly origins: readonly StreamOrigin[];
  /** Slot after that of the newest batch. */
  readonly nextSlot: number;
  /** Slots of all batches. */
  readonly slots: readonly number[];
}

/** Decodes the records of streams. Unreadable ones are logged and left out. */
export function readStreamRecords(records: readonly TableRecord[], log: common.Logger): StoredStreams {
  const history = records.find(({ key }) => key === historyKey);
  const batches = records
    .filter(({ key }) => batchSlot(key) !== undefined)
    .sort((first, second) => first.offset - second.offset);
  const newestSlot = batchSlot(batches.at(-1)?.key ?? '');
  return {
    history: history && decoded(history, decodeHistory, log),
    origins: batches.flatMap((record) => ungroupOrigins(decoded(record, decodeBatch, log) ?? [])),
    slots: batches.flatMap(({ key }) => batchSlot(key) ?? []),
    nextSlot: newestSlot === undefined ? 0 : newestSlot + 1,
  };
}

function decoded<Value>(
  { key, value }: TableRecord,
  decode: (text: string) => Value | undefined,
  log: common.Logger,
): Value | undefined {
  const result = decode(value ?? '');
  if (result === undefined) {
    log.warn('A record of streams is unreadable.', { key });
  }
  return result;
}
