import * as vitest from 'vitest';
import { maximumConcurrentReplicas, replicaSpans } from './replicaHistory.js';

function record(timeMs: number, state: 'LOADING' | 'READY' | 'UNLOADING' | 'UNAVAILABLE', name = 'p/m') {
  return { timeMs, name, version: '1', state, usedBytes: [] };
}

vitest.describe('replicaHistory', () => {
  vitest.test(
    'counts a replica from its load to the release of its memory (guards P1 against a replica counted as gone too early)',
    () => {
      const first = [record(1, 'LOADING'), record(5, 'READY'), record(10, 'UNLOADING'), record(20, 'UNAVAILABLE')];
      const spans = replicaSpans('a', first, undefined);
      vitest.expect(spans).toMatchObject([{ fromMs: 1, untilMs: 20 }]);
      const overlapping = replicaSpans('b', [record(15, 'LOADING')], undefined);
      vitest.expect(maximumConcurrentReplicas([...spans, ...overlapping])).toBe(2);
      const following = replicaSpans('b', [record(20, 'LOADING')], undefined);
      vitest.expect(maximumConcurrentReplicas([...spans, ...following])).toBe(1);
    },
  );

  vitest.test(
    'ends the replicas of a killed engine with its process (guards P1 against replicas that no longer exist)',
    () => {
      const dead = replicaSpans('a', [record(1, 'LOADING'), record(5, 'READY')], 30);
      const next = replicaSpans('b', [record(31, 'LOADING')], undefined);
      vitest.expect(maximumConcurrentReplicas([...dead, ...next])).toBe(1);
      vitest
        .expect(maximumConcurrentReplicas([...replicaSpans('a', [record(1, 'LOADING')], undefined), ...next]))
        .toBe(2);
    },
  );
});
