import * as vitest from 'vitest';
import { RateLimitTable } from './RateLimitTable.js';

const replica = { replicaId: 'r1', bornMs: 5 };

vitest.describe('rate limits in force', () => {
  vitest.test(
    'fall at once and rise only after a second (guards against older responses that overtake newer ones)',
    () => {
      const table = new RateLimitTable();
      table.record({ ...replica, perSecond: 4 }, true, 0);
      table.record({ ...replica, perSecond: 2 }, true, 10);
      vitest.expect(table.perSecond('r1')).toBe(2);
      table.record({ ...replica, perSecond: 4 }, true, 20);
      table.record({ ...replica, perSecond: 2 }, true, 500);
      table.record({ ...replica, perSecond: 4 }, true, 1_200);
      vitest.expect(table.perSecond('r1')).toBe(2);
      table.record({ ...replica, perSecond: 4 }, true, 2_300);
      vitest.expect(table.perSecond('r1')).toBe(4);
    },
  );

  vitest.test('end after a second without a stated limit (guards against limits that last for ever)', () => {
    const table = new RateLimitTable();
    table.record({ ...replica, perSecond: 2 }, true, 0);
    table.record(replica, true, 100);
    vitest.expect(table.perSecond('r1')).toBe(2);
    table.record(replica, true, 1_200);
    vitest.expect(table.perSecond('r1')).toBeUndefined();
  });

  vitest.test('are not raised by a follower of the leader (guards against daemons that hold different limits)', () => {
    const table = new RateLimitTable();
    table.record({ ...replica, perSecond: 2 }, false, 0);
    vitest.expect(table.record(replica, false, 5_000)).toBe(true);
    table.record(replica, false, 9_000);
    vitest.expect(table.perSecond('r1')).toBe(2);
  });

  vitest.test('end with the start that stated them (guards against the limit of another replica)', () => {
    const table = new RateLimitTable();
    table.record({ ...replica, perSecond: 2 }, true, 0);
    table.record({ replicaId: 'r1', bornMs: 4 }, true, 10);
    vitest.expect(table.perSecond('r1')).toBe(2);
    table.set({ replicaId: 'r1', bornMs: 4 });
    vitest.expect(table.perSecond('r1')).toBe(2);
    table.retain(() => 6);
    vitest.expect(table.perSecond('r1')).toBeUndefined();
  });
});
