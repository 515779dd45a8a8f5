import * as vitest from 'vitest';
import { ChangeSimulation } from '../testing/changes/ChangeSimulation.js';
import { sampleReplica } from '../testing/sampleReplica.js';

/** Length of an outage in which records expire, milliseconds. */
const outageMs = 6_000;
/** Time after the outage at which the replicas write their records again, milliseconds. */
const rewriteMs = 1_200;
const expiredId = 'i-3';

vitest.describe('a record that expires during an outage of the store', () => {
  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
  });

  vitest.test.each([9, 76, 300])(
    'leaves its replica in use at %d daemons (guards against replicas lost to an outage)',
    async (daemonCount) => {
      vitest.vi.useFakeTimers({ now: 1_000_000 });
      await using simulation = new ChangeSimulation(daemonCount);
      await simulation.open(5);
      const all = { leader: true, followerShare: 1 };
      simulation.setReachability('refused', all);
      await simulation.advance(outageMs);
      simulation.store.write('replicas', expiredId);
      simulation.setReachability('served', all);
      const isUsed: boolean[] = [];
      for (let elapsedMs = 0; elapsedMs < rewriteMs; elapsedMs += 100) {
        await simulation.advance(100);
        isUsed.push(simulation.followers.every((gateway) => gateway.uses(expiredId)));
      }
      simulation.store.write('replicas', expiredId, sampleReplica({ id: expiredId }));
      await simulation.advance(1_000);
      vitest.expect(isUsed).not.toContain(false);
      vitest.expect(simulation.followers.every((gateway) => gateway.uses(expiredId))).toBe(true);
    },
  );
});
