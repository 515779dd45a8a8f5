import * as vitest from 'vitest';
import type { DaemonReport } from '../peers/Types.js';
import { DemandAggregator } from './DemandAggregator.js';

const modelReference = { model: 'm' };

function report(waiting: number, daemon = 'vm1', unreachable: readonly string[] = []): DaemonReport {
  return {
    daemon,
    waiting: waiting === 0 ? [] : [{ target: modelReference, count: waiting, slackMs: 100 }],
    arrivals: [{ target: modelReference, count: 1, latencyTargetMs: 250 }],
    running: [],
    unreachable,
  };
}

vitest.describe('demand aggregator', () => {
  vitest.test(
    'keeps the wait period across refusals (guards against a wait period that restarts with each request)',
    () => {
      const aggregator = new DemandAggregator();
      for (let nowMs = 0; nowMs <= 3_000; nowMs += 500) {
        aggregator.apply(report(nowMs % 1_000 === 0 ? 2 : 0), nowMs);
        aggregator.demands(nowMs);
      }
      vitest.expect(aggregator.demands(3_000)).toMatchObject([{ modelReference, waiting: 2, unservedMs: 3_000 }]);
    },
  );

  vitest.test('restarts the wait period after more than 2 s without a waiting request', () => {
    const aggregator = new DemandAggregator();
    aggregator.apply(report(1), 0);
    aggregator.demands(0);
    aggregator.apply(report(0), 100);
    aggregator.demands(2_500);
    aggregator.apply(report(1), 3_000);
    vitest.expect(aggregator.demands(3_000)).toMatchObject([{ waiting: 1, unservedMs: 0 }]);
  });

  vitest.test(
    'requires reports of two daemons for an unreachable replica if several report (guards against a partitioned daemon)',
    () => {
      const aggregator = new DemandAggregator();
      aggregator.apply(report(0, 'vm1', ['r1']), 0);
      vitest.expect([...aggregator.unreachable()]).toEqual(['r1']);
      aggregator.apply(report(0, 'vm2'), 0);
      vitest.expect([...aggregator.unreachable()]).toEqual([]);
      aggregator.apply(report(0, 'vm3', ['r1']), 0);
      vitest.expect([...aggregator.unreachable()]).toEqual(['r1']);
    },
  );

  vitest.test('reports how long callers wait (guards against loads that end after the last caller has left)', () => {
    const aggregator = new DemandAggregator();
    const { waiting, arrivals, ...rest } = report(1);
    const patient = (callerTimeoutMs: number, daemon: string): DaemonReport => ({
      ...rest,
      daemon,
      waiting: waiting.map((entry) => ({ ...entry, callerTimeoutMs })),
      arrivals: arrivals.map((entry) => ({ ...entry, callerTimeoutMs })),
    });
    aggregator.apply(patient(2_000, 'vm1'), 0);
    aggregator.apply(patient(16_000, 'vm2'), 0);
    vitest.expect(aggregator.demands(1_000)).toMatchObject([{ waitingTimeoutMs: 15_000, callerTimeoutMs: 9_000 }]);
  });
});
