import * as vitest from 'vitest';
import { PendingQueries } from './PendingQueries.js';
import type { OriginAnswer } from './Types.js';

const query = { service: 's', attemptId: 'a' };
const known: OriginAnswer = { kind: 'known', version: 'v1' };

vitest.describe('PendingQueries', () => {
  vitest.test('asks once for a stream that is taken up twice (guards against needless messages)', () => {
    const queries = new PendingQueries();
    const listeners = [vitest.vi.fn(), vitest.vi.fn()];
    for (const listener of listeners) {
      queries.add({ ...query }, listener);
    }
    vitest.expect(queries.all).toEqual([query]);
    queries.answer(query, known);
    for (const listener of listeners) {
      vitest.expect(listener).toHaveBeenCalledWith(known);
    }
  });

  vitest.test('answers each listener once (guards against requests dispatched twice)', () => {
    const queries = new PendingQueries();
    const listener = vitest.vi.fn();
    queries.add(query, listener);
    queries.answer(query, known);
    queries.answer(query, { kind: 'unknown' });
    vitest.expect(listener).toHaveBeenCalledTimes(1);
    vitest.expect(queries.all).toEqual([]);
  });

  vitest.test('forgets a query without listeners (guards against questions that are repeated for ever)', () => {
    const queries = new PendingQueries();
    const listener = vitest.vi.fn();
    const cancelFirst = queries.add(query, listener);
    const cancelSecond = queries.add(query, vitest.vi.fn());
    cancelFirst();
    vitest.expect(queries.all).toEqual([query]);
    cancelSecond();
    vitest.expect(queries.all).toEqual([]);
    queries.answer(query, known);
    vitest.expect(listener).not.toHaveBeenCalled();
  });

  vitest.test('keeps a later search when an earlier one ends (guards against a request that waits in vain)', () => {
    const queries = new PendingQueries();
    const cancelEarlier = queries.add(query, vitest.vi.fn());
    queries.answer(query, known);
    const later = vitest.vi.fn();
    queries.add(query, later);
    cancelEarlier();
    queries.answer(query, known);
    vitest.expect(later).toHaveBeenCalledWith(known);
  });

  vitest.test('tells an unnamed attempt from a named one (guards against the answer to another query)', () => {
    const queries = new PendingQueries();
    const unnamed = vitest.vi.fn();
    queries.add({ service: 's' }, unnamed);
    queries.answer(query, known);
    vitest.expect(unnamed).not.toHaveBeenCalled();
  });
});
