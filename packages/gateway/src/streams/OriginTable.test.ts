import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { groupOrigins, OriginTable, ungroupOrigins } from './OriginTable.js';

const origin = { attemptId: 'a', service: 's', version: 'v1' };
const origins = fastCheck.uniqueArray(
  fastCheck.record({ attemptId: fastCheck.string(), service: fastCheck.string(), version: fastCheck.string() }),
  { selector: ({ attemptId }) => attemptId },
);

vitest.describe('OriginTable', () => {
  vitest.test('keeps the first version of an attempt (guards against an attempt id that comes again)', () => {
    const table = new OriginTable();
    vitest.expect(table.add(origin, 0)).toBe(true);
    vitest.expect(table.add({ ...origin, version: 'v2' }, 1)).toBe(false);
    vitest.expect(table.versionOf('a')).toBe('v1');
  });

  vitest.test('forgets origins after their lifetime only (guards against lost streams and endless growth)', () => {
    const table = new OriginTable();
    table.add(origin, 10);
    table.add({ ...origin, attemptId: 'b' }, 20);
    table.expire(20);
    vitest.expect(table.versionOf('a')).toBeUndefined();
    vitest.expect(table.versionOf('b')).toBe('v1');
  });

  vitest.test('has a bounded size and drops the oldest (guards against endless growth)', () => {
    const table = new OriginTable();
    for (let index = 0; index <= 200_000; index += 1) {
      table.add({ ...origin, attemptId: String(index) }, 0);
    }
    vitest.expect(table.size).toBe(200_000);
    vitest.expect(table.versionOf('0')).toBeUndefined();
    vitest.expect(table.versionOf('200000')).toBe('v1');
  });

  vitest.test('groups keep every origin (guards against origins lost on their way)', () => {
    fastCheck.assert(
      fastCheck.property(origins, (list) => {
        const returned = ungroupOrigins(groupOrigins(list));
        vitest.expect(new Set(returned.map((item) => JSON.stringify(item)))).toEqual(asSet(list));
        vitest.expect(returned).toHaveLength(list.length);
      }),
    );
  });
});

function asSet(list: readonly { attemptId: string; service: string; version: string }[]): ReadonlySet<string> {
  return new Set(list.map(({ attemptId, service, version }) => JSON.stringify({ attemptId, service, version })));
}
