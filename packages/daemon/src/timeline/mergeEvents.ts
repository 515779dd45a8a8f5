import * as common from '@jayhaven/common';

/** Merges the events of several daemons into one order: hybrid time, then daemon name. */
export function mergeEvents(parts: readonly (readonly common.TimelineEvent[])[]): readonly common.TimelineEvent[] {
  return parts.flat().sort(
    // Two daemons may stamp the same time; the name makes the order the same at every reader.
    (first, second) => common.compareHybridTime(first.time, second.time) || compareText(first.daemon, second.daemon),
  );
}

function compareText(first: string, second: string): number {
  return first < second ? -1 : Number(first > second);
}
