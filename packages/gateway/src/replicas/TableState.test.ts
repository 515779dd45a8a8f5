import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { ReplicaOrder } from './ReplicaOrder.js';
import { TableState } from './TableState.js';

const offsetOrder = new ReplicaOrder({ decodeReplica: () => undefined });

vitest.describe('records of a table', () => {
  vitest.test(
    'reject a table that is older than the known state (guards against stale reads after lost history)',
    () => {
      const state = new TableState(offsetOrder);
      state.applyTable({ records: [{ key: 'a', offset: 9, value: 'new' }], end: 10, era: 1 });
      vitest
        .expect(state.applyTable({ records: [{ key: 'a', offset: 3, value: 'old' }], end: 4, era: 1 }))
        .toBeUndefined();
      vitest.expect(state.records()).toEqual([{ key: 'a', offset: 9, value: 'new' }]);
    },
  );

  vitest.test(
    'drop a key that a newer table lacks (guards against replicas that left while history was dropped)',
    () => {
      const state = new TableState(offsetOrder);
      state.applyTable({ records: [{ key: 'a', offset: 1, value: 'x' }], end: 2, era: 1 });
      vitest.expect(state.applyTable({ records: [], end: 5, era: 1 })).toMatchObject([{ key: 'a' }]);
      vitest.expect(state.records()).toEqual([]);
    },
  );

  vitest.test('include removals in what a peer lacks (guards against full tables over slow links)', () => {
    const state = new TableState(offsetOrder);
    state.applyTable({
      records: [
        { key: 'a', offset: 1, value: 'x' },
        { key: 'b', offset: 2, value: 'y' },
      ],
      end: 3,
      era: 1,
    });
    state.applyChanges({ records: [{ key: 'a', offset: 3 }], end: 4, era: 1 });
    vitest.expect(state.recordsSince(3)).toEqual([{ key: 'a', offset: 3 }]);
    vitest.expect(state.recordsSince(4)).toEqual([]);
  });

  vitest.test(
    'converge to the same state in any order of arrival (guards against a peer that reverts a daemon to older records)',
    () => {
      const record = fastCheck.record({
        key: fastCheck.constantFrom('a', 'b'),
        offset: fastCheck.nat(40),
        value: fastCheck.option(fastCheck.constantFrom('x', 'y'), { nil: undefined }),
      });
      const series = fastCheck.uniqueArray(record, { selector: (entry) => entry.offset, maxLength: 12 });
      fastCheck.assert(
        fastCheck.property(series, fastCheck.infiniteStream(fastCheck.nat()), (records, order) => {
          const inOrder = new TableState(offsetOrder);
          const shuffled = new TableState(offsetOrder);
          const sorted = [...records].sort((first, second) => first.offset - second.offset);
          const permuted = [...records].sort(() => ((order.next().value ?? 0) % 2 === 0 ? 1 : -1));
          for (const entry of sorted)
            inOrder.applyChanges({ records: [withoutUndefinedValue(entry)], end: entry.offset + 1, era: 1 });
          for (const entry of permuted)
            shuffled.applyChanges({ records: [withoutUndefinedValue(entry)], end: entry.offset + 1, era: 1 });
          const byKey = (first: { key: string }, second: { key: string }): number =>
            first.key.localeCompare(second.key);
          vitest.expect([...shuffled.records()].sort(byKey)).toEqual([...inOrder.records()].sort(byKey));
        }),
      );
    },
  );
});

function withoutUndefinedValue(record: { key: string; offset: number; value: string | undefined }) {
  const { value, ...rest } = record;
  return value === undefined ? rest : { ...rest, value };
}
