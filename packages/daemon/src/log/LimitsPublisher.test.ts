import * as vitest from 'vitest';
import { edit, GroupFixture } from './testing/GroupFixture.js';
import { until } from './testing/support.js';

vitest.describe('limits of replay', () => {
  vitest.test('daemons with different settings reach the same verdicts (guards against diverging replay)', async () => {
    await using group = await GroupFixture.open();
    const first = await group.start('a', { owner: { maximumConcurrentLoads: 2 } });
    const second = await group.start('b', { owner: { maximumConcurrentLoads: 7 }, partners: ['cascade'] });
    await until('limits are set', () => second.log.state.limitsSetAt !== undefined);
    vitest.expect(second.log.state.limits).toEqual(first.log.state.limits);
    vitest.expect(first.log.state.limits).toMatchObject({ maximumConcurrentLoads: 2 });
    // Replay with the settings of b would reject Solano's edit at b and accept it at a.
    vitest.expect((await second.log.append(edit('queueLimit', 7, null), 2000)).ok).toBe(true);
    await until('the edit is in force', () => first.log.state.configuration.size === 1);
    vitest.expect(second.log.state.configuration).toEqual(first.log.state.configuration);

    vitest
      .expect((await second.log.append({ kind: 'ownerClaimed', cell: 'main', supersedes: null }, 2000)).ok)
      .toBe(true);
    await new Promise((resolve) => setTimeout(resolve, 300));
    // Replay rejects the new owner's limits, because they omit Solano, which has configuration.
    vitest.expect(second.log.state.limits).toMatchObject({ partners: ['solano', 'cascade'] });
    const third = await group.start('c', { owner: { maximumConcurrentLoads: 9 } });
    const claim = second.log.state.cells.get('main')?.claim ?? null;
    await third.log.append({ kind: 'ownerClaimed', cell: 'main', supersedes: claim }, 2000);
    await until('the limits of the new owner are in force on every daemon', () =>
      [first, second, third].every((plane) => plane.log.state.limits.maximumConcurrentLoads === 9),
    );
  });
});
