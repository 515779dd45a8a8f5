import * as vitest from 'vitest';
import { burstRequests, runBurst } from '../../measure/runBurst.js';

// First-token times depend on the load of the machine, so `measure/burst.ts` measures them instead.
vitest.describe('burst of first requests for a cold model', () => {
  vitest.test.each(['checked', 'ignored'] as const)(
    'loads one replica and answers all requests (fencing tokens %s; guards against a load per daemon)',
    async (fencing) => {
      const figures = await runBurst({ fencing });
      vitest.expect(figures, JSON.stringify(figures)).toMatchObject({
        ...{ replicasDecided: 1, replicasLoaded: 1, answered: burstRequests, violations: [] },
      });
    },
  );

  vitest.test('loads one replica when every third acknowledgement is lost and appends are slow', async () => {
    // Guards against a duplicate decision after the acknowledgement of its append was lost.
    const figures = await runBurst({
      prepare: async (cluster) => {
        await cluster.log.control({ loseAcknowledgements: 0.34, appendDelayMs: 150 });
      },
    });
    vitest
      .expect(figures, JSON.stringify(figures))
      .toMatchObject({ replicasDecided: 1, replicasLoaded: 1, violations: [] });
    vitest.expect(figures.answered, JSON.stringify(figures)).toBe(burstRequests);
  });
});
