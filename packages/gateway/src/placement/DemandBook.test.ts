import * as vitest from 'vitest';
import type { DaemonReport } from '../peers/Types.js';
import { DemandBook } from './DemandBook.js';

const target = { model: 'm' };

function report(waiting: number, daemon = 'vm1', unreachable: readonly string[] = []): DaemonReport {
  return {
    daemon,
    waiting: waiting === 0 ? [] : [{ target, count: waiting, slackMs: 100 }],
    arrivals: [{ target, count: 1, latencyTargetMs: 250 }],
    running: [],
    unreachable,
  };
}

vitest.describe('demand for models', () => {
  vitest.test('counts the wait over refused requests (guards against a model that always seems new)', () => {
    const book = new DemandBook();
    for (let nowMs = 0; nowMs <= 3_000; nowMs += 500) {
      book.apply(report(nowMs % 1_000 === 0 ? 2 : 0), nowMs);
      book.demands(nowMs);
    }
    vitest.expect(book.demands(3_000)).toMatchObject([{ target, waiting: 2, unservedMs: 3_000 }]);
  });

  vitest.test('begins anew once nobody has waited for a while', () => {
    const book = new DemandBook();
    book.apply(report(1), 0);
    book.demands(0);
    book.apply(report(0), 100);
    book.demands(2_500);
    book.apply(report(1), 3_000);
    vitest.expect(book.demands(3_000)).toMatchObject([{ waiting: 1, unservedMs: 0 }]);
  });

  vitest.test('takes the word of two daemons for a dead replica (guards against a daemon that is cut off)', () => {
    const book = new DemandBook();
    book.apply(report(0, 'vm1', ['r1']), 0);
    vitest.expect([...book.unreachable()]).toEqual(['r1']);
    book.apply(report(0, 'vm2'), 0);
    vitest.expect([...book.unreachable()]).toEqual([]);
    book.apply(report(0, 'vm3', ['r1']), 0);
    vitest.expect([...book.unreachable()]).toEqual(['r1']);
  });
});
