import type { HistoryVersions, OriginGroup, ServiceVersions, StreamOrigin } from './Types.js';

/** Key of the record with the versions of all services. */
export const historyKey = 'versions';
const batchKeyPrefix = 'batch-';
/** Number of batches that are kept; the next one replaces the oldest. At ten a second they cover 100 s. */
export const batchSlots = 1_024;
/** Largest number of origins in a batch. */
const maximumBatchOrigins = 4_000;
/** Largest size of a batch, bytes. The store takes records of 256 KiB. */
const maximumBatchBytes = 180 * 1_024;
/** Size of a group in a batch, beyond its service, version and attempts, bytes. */
const groupBytes = 50;

/** Era in a history that may lack versions, because its writer did not know all of them. */
export const unprovenEra = -1;

/** Versions of all services, as stored. */
export interface HistoryRecord extends HistoryVersions {
  /** Era of the store in which the record was complete. In a later one, it may lack versions. */
  readonly era: number;
}

/** Key of a batch of origins. */
export function batchKey(slot: number): string {
  return `${batchKeyPrefix}${slot % batchSlots}`;
}

/** Slot of a batch; undefined if the key is not that of a batch. */
export function batchSlot(key: string): number | undefined {
  const slot = key.startsWith(batchKeyPrefix) ? Number(key.slice(batchKeyPrefix.length)) : Number.NaN;
  return Number.isInteger(slot) ? slot : undefined;
}

export function encodeHistory(record: HistoryRecord): string {
  return JSON.stringify(record);
}

/** Decodes the record of the versions; undefined if it is unreadable. */
export function decodeHistory(text: string): HistoryRecord | undefined {
  const value = parse(text) as Partial<HistoryRecord> | null | undefined;
  const isReadable = Number.isSafeInteger(value?.era) && isServiceVersions(value?.versions) && isBases(value.bases);
  return isReadable ? (value as HistoryRecord) : undefined;
}

/** Number of origins, from the first on, that a batch takes. */
export function countForBatch(origins: readonly StreamOrigin[]): number {
  const groups = new Set<string>();
  let bytes = 0;
  const candidates = origins.slice(0, maximumBatchOrigins);
  const firstBeyond = candidates.findIndex(({ attemptId, service, version }) => {
    const group = JSON.stringify([service, version]);
    bytes += Buffer.byteLength(JSON.stringify(attemptId)) + 1;
    bytes += groups.has(group) ? 0 : Buffer.byteLength(group) + groupBytes;
    groups.add(group);
    return bytes > maximumBatchBytes;
  });
  return firstBeyond === -1 ? candidates.length : Math.max(firstBeyond, 1);
}

export function encodeBatch(groups: readonly OriginGroup[]): string {
  return JSON.stringify(groups);
}

/** Decodes a batch of origins; undefined if it is unreadable. */
export function decodeBatch(text: string): readonly OriginGroup[] | undefined {
  const value = parse(text);
  return Array.isArray(value) && value.every(isOriginGroup) ? value : undefined;
}

function isOriginGroup(value: unknown): value is OriginGroup {
  const group = value as Partial<OriginGroup> | null;
  return typeof group?.service === 'string' && typeof group.version === 'string' && isTextList(group.attemptIds);
}

function isServiceVersions(value: unknown): value is ServiceVersions {
  return isObject(value) && Object.values(value).every(isTextList);
}

/** Records of earlier versions state no bases. */
function isBases(value: unknown): value is HistoryRecord['bases'] {
  return value === undefined || (isObject(value) && Object.values(value).every((item) => typeof item === 'string'));
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isTextList(value: unknown): value is readonly string[] {
  return Array.isArray(value) && value.every((item) => typeof item === 'string');
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}
