import type * as standins from '@jayhaven/standins';

/** A span of time in which an engine held a replica. */
export interface ReplicaSpan {
  readonly target: string;
  readonly model: string;
  readonly version: string;
  readonly fromMs: number;
  /** Infinity while the engine holds the replica. */
  readonly untilMs: number;
}

/** Spans in which one engine held replicas, from its records. All spans end with the engine's process. */
export function replicaSpans(
  target: string,
  models: readonly standins.ModelRecord[],
  endedMs: number | undefined,
): readonly ReplicaSpan[] {
  const openSpans = new Map<string, standins.ModelRecord>();
  const spans: ReplicaSpan[] = [];
  const endSpan = (first: standins.ModelRecord, untilMs: number): void => {
    spans.push({ target, model: first.name, version: first.version, fromMs: first.timeMs, untilMs });
  };
  for (const record of models) {
    const key = `${record.name}@${record.version}`;
    const first = openSpans.get(key);
    if (record.state === 'LOADING') {
      openSpans.set(key, first ?? record);
    } else if (record.state === 'UNAVAILABLE' && first) {
      openSpans.delete(key);
      endSpan(first, record.timeMs);
    }
  }
  for (const first of openSpans.values()) {
    endSpan(first, endedMs ?? Number.POSITIVE_INFINITY);
  }
  return spans;
}

/** Maximum number of concurrent spans. Spans do not overlap if one ends in the millisecond in which another begins. */
export function maximumConcurrentReplicas(spans: readonly ReplicaSpan[]): number {
  const changes = spans
    .flatMap((span) => [
      { timeMs: span.fromMs, change: 1 },
      { timeMs: span.untilMs, change: -1 },
    ])
    .sort((first, second) => first.timeMs - second.timeMs || first.change - second.change);
  let current = 0;
  let maximum = 0;
  for (const { change } of changes) {
    current += change;
    maximum = Math.max(maximum, current);
  }
  return maximum;
}
