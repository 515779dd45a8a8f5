import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { neighboursOf } from './ring.js';
import { SuspicionTable } from './SuspicionTable.js';

vitest.describe('SuspicionTable', () => {
  vitest.test('suspects after three consecutive misses (guards against a suspicion after one slow response)', () => {
    const table = new SuspicionTable();
    table.recordMissed('x', 1000);
    table.recordMissed('x', 2000);
    table.recordContact('x', 2500);
    table.recordMissed('x', 3000);
    table.recordMissed('x', 4000);
    vitest.expect(table.isSuspected('x', 4000)).toBe(false);
    table.recordMissed('x', 5000);
    vitest.expect(table.isSuspected('x', 5000)).toBe(true);
    table.recordContact('x', 5001);
    vitest.expect(table.isSuspected('x', 5001)).toBe(false);
  });

  vitest.test('relays suspicions and their withdrawal (guards against members that stay suspected)', () => {
    const [first, second] = [new SuspicionTable(), new SuspicionTable()];
    for (const atMs of [1000, 2000, 3000]) {
      first.recordMissed('x', atMs);
    }
    second.merge(first.suspicionsToRelay(3000), first.withdrawalsToRelay(3000), 3010);
    vitest.expect(second.isSuspected('x', 3010)).toBe(true);
    first.recordContact('x', 3500);
    vitest.expect(first.suspicionsToRelay(4000)).toEqual([]);
    second.merge(first.suspicionsToRelay(4000), first.withdrawalsToRelay(4000), 4010);
    vitest.expect(second.isSuspected('x', 4010)).toBe(false);
    // The earlier suspicion of the second table must not be restored in the first.
    first.merge(second.suspicionsToRelay(4020), second.withdrawalsToRelay(4020), 4030);
    vitest.expect(first.isSuspected('x', 4030)).toBe(false);
  });
});

vitest.describe('neighboursOf', () => {
  vitest.test('every member receives heartbeats (guards against a member that is not monitored)', () => {
    const names = fastCheck.uniqueArray(fastCheck.string({ minLength: 1, maxLength: 4 }), {
      minLength: 2,
      maxLength: 20,
    });
    fastCheck.assert(
      fastCheck.property(names, fastCheck.integer({ min: 0, max: 2 }), (members, failed) => {
        const suspects = new Set([...members].sort().slice(0, Math.min(failed, members.length - 2)));
        const watched = new Set(
          members
            .filter((member) => !suspects.has(member))
            .flatMap((member) => neighboursOf(member, members, (other) => suspects.has(other))),
        );
        vitest.expect([...watched].sort()).toEqual([...members].sort());
      }),
    );
  });
});
