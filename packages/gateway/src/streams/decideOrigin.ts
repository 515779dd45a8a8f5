import type { OriginAnswer } from './Types.js';
import { soleOrBase } from './VersionHistory.js';

/** What a daemon or the store's records tell of the stream that a caller takes up. */
export interface OriginKnowledge {
  /** False if the caller does not name the attempt that began the stream, so that nobody can tell whether there is a record. */
  readonly isNamed: boolean;
  /** Version in the record of the stream's attempt; undefined without a record. */
  readonly recorded: string | undefined;
  /** Versions at which a stream of the service may have begun within the lifetime of streams. */
  readonly versions: readonly string[];
  /** Version at which each stream of the service without a record began, if that is certain while there are several. */
  readonly base?: string | undefined;
  /** True if no other version can have begun a stream that is still taken up. */
  readonly isHistoryComplete: boolean;
  /** True if a record that is missing now will not come any more. */
  readonly areRecordsComplete: boolean;
}

/**
 * Decides at which version a stream goes on; undefined while more may become known. Without a record, a complete history
 * with a single version tells, or the one that stood alone before streams at others were recorded.
 */
export function decideOrigin(knowledge: OriginKnowledge): OriginAnswer | undefined {
  const { isNamed, recorded, versions, base, isHistoryComplete, areRecordsComplete } = knowledge;
  const unrecorded = soleOrBase(versions, isNamed ? base : undefined);
  if (recorded !== undefined) {
    return { kind: 'known', version: recorded };
  }
  if (isHistoryComplete && unrecorded !== undefined) {
    return { kind: 'known', version: unrecorded };
  }
  return areRecordsComplete ? { kind: 'unknown' } : undefined;
}
