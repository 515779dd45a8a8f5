import type { OriginAnswer } from './Types.js';

/** What a daemon or the store's records tell of the stream that a caller takes up. */
export interface OriginKnowledge {
  /** Version in the record of the stream's attempt; undefined without a record. */
  readonly recorded: string | undefined;
  /** Versions at which a stream of the service may have begun within the lifetime of streams. */
  readonly versions: readonly string[];
  /** True if no other version can have begun a stream that is still taken up. */
  readonly isHistoryComplete: boolean;
  /** True if a record that is missing now will not come any more. */
  readonly areRecordsComplete: boolean;
}

/**
 * Decides at which version a stream goes on; undefined while more may become known. Without a record, only a complete
 * history with a single version tells: a record is missing of each stream that began just before all daemons were lost.
 */
export function decideOrigin(knowledge: OriginKnowledge): OriginAnswer | undefined {
  const { recorded, versions, isHistoryComplete, areRecordsComplete } = knowledge;
  const [onlyVersion] = versions;
  if (recorded !== undefined) {
    return { kind: 'known', version: recorded };
  }
  if (isHistoryComplete && versions.length === 1 && onlyVersion !== undefined) {
    return { kind: 'known', version: onlyVersion };
  }
  return areRecordsComplete ? { kind: 'unknown' } : undefined;
}
