import * as common from '@jayhaven/common';

/** Member of `detail` that names the author of a control record in an event of another daemon. */
export const copiedFrom = 'copiedFrom';

/**
 * Merges the events of several daemons into one order: hybrid time, then daemon name. Of an event that several daemons
 * copied from the log, only the author's own is kept, or the first copy if the author did not respond.
 */
export function mergeEvents(timelines: readonly (readonly common.TimelineEvent[])[]): readonly common.TimelineEvent[] {
  const events = timelines.flat().sort(
    // Two daemons may stamp the same time; the name makes the order the same for every reader.
    (first, second) => common.compareHybridTime(first.time, second.time) || compareText(first.daemon, second.daemon),
  );
  const seenRecords = new Set(events.filter((event) => !isCopy(event)).map(recordOf));
  return events.filter((event) => {
    if (!isCopy(event)) {
      return true;
    }
    const record = recordOf(event);
    const isFirst = !seenRecords.has(record);
    seenRecords.add(record);
    return isFirst;
  });
}

function isCopy(event: common.TimelineEvent): boolean {
  return event.offset !== undefined && event.detail?.[copiedFrom] !== undefined;
}

function recordOf(event: common.TimelineEvent): string {
  return `${event.event}@${event.offset ?? ''}`;
}

function compareText(first: string, second: string): number {
  return first < second ? -1 : Number(first > second);
}
