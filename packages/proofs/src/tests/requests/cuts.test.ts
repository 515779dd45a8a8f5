import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import { sendMany, startLoadedCluster, withoutValidOutcome } from './loadedCluster.js';

const deadlineMs = 8_000;

/** Network faults between the daemons and one target. */
const networkFaults = {
  cut: { cut: true },
  answersLost: { toClient: { drop: true } },
  requestsLost: { toTarget: { drop: true } },
  refused: { refuse: true },
} as const;

vitest.describe('network between daemons and a target', () => {
  vitest.test.each(Object.entries(networkFaults))(
    '%s: every request gets a complete answer or an explicit error before its deadline (guards against hung requests)',
    async (_name, fault) => {
      await using cluster = await startLoadedCluster({ targets: true });
      const early = sendMany(cluster, 18, 100, deadlineMs);
      await harness.delay(200);
      await cluster.engines[0]?.proxy?.control(fault);
      const results = [...(await early), ...(await sendMany(cluster, 18, 10, deadlineMs))];
      vitest.expect(withoutValidOutcome(results), cluster.errorOutput(1_000)).toEqual([]);
      vitest.expect(results.filter(({ error }) => error?.type === 'deadline_exceeded')).toEqual([]);
      vitest.expect(results.filter(({ outcome }) => outcome === 'complete').length).toBeGreaterThan(18);
      vitest.expect(await cluster.observer.violations()).toEqual([]);
    },
  );
});
