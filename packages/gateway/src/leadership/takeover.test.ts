import * as vitest from 'vitest';
import { ChangeSimulation } from '../testing/changes/ChangeSimulation.js';
import { seededRandom } from '../testing/seededRandom.js';

/** Numbers of daemons with the time within which a change must be in force there, milliseconds. */
const sizes = [
  { daemonCount: 9, boundMs: 2_000 },
  { daemonCount: 76, boundMs: 3_000 },
  { daemonCount: 300, boundMs: 4_000 },
] as const;
/** Part of each bound that stays free for slow machines and for requests on their way, milliseconds. */
const marginMs = 400;
const replicaCount = 40;
/** Time between the first refusal and the takeover, milliseconds. */
const refusedMs = 2_000;
/** Time within which daemons find a new leader although the former one has ended, milliseconds. */
const searchMs = 9_000;
const changesMs = 3_000;
const settleMs = 6_000;
/** Messages on the leader beyond one for each daemon: announcements with their answers, and those of the seeds. */
const furtherMessages = 30;

vitest.describe('a takeover by the only daemon that the store serves', () => {
  vitest.beforeEach(() => {
    vitest.vi.useFakeTimers({ now: 1_000_000 });
    vitest.vi.spyOn(Math, 'random').mockImplementation(seededRandom(42));
  });

  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
    vitest.vi.restoreAllMocks();
  });

  /** Returns how long changes after the takeover took until they were in force at all daemons. */
  async function changeTimeMs(simulation: ChangeSimulation): Promise<number> {
    const { removalMs, configurationMs } = await simulation.change(changesMs, settleMs, () => true);
    return Math.max(removalMs, configurationMs);
  }

  async function refuseAllButOne(daemonCount: number): Promise<ChangeSimulation> {
    const simulation = new ChangeSimulation(daemonCount);
    await simulation.open(replicaCount);
    simulation.setReachability('refused', { leader: true, followerShare: (daemonCount - 2) / (daemonCount - 1) });
    await simulation.advance(refusedMs);
    return simulation;
  }

  vitest.test.each(sizes)(
    'is followed by all $daemonCount daemons in time (guards against daemons that follow a former leader)',
    async ({ daemonCount, boundMs }) => {
      await using simulation = await refuseAllButOne(daemonCount);
      simulation.takeOver();
      vitest.expect(await changeTimeMs(simulation)).toBeLessThanOrEqual(boundMs - marginMs);
      vitest.expect(simulation.followingCount).toBe(daemonCount - 1);
      vitest.expect(simulation.sentMessages('leader')).toBeLessThanOrEqual(daemonCount + furtherMessages);
    },
  );

  vitest.test.each(sizes)(
    'is found by all $daemonCount daemons although the former leader has ended (guards against daemons that ask nobody else)',
    async ({ daemonCount, boundMs }) => {
      await using simulation = await refuseAllButOne(daemonCount);
      await simulation.killLeader();
      await simulation.advance(refusedMs);
      simulation.takeOver();
      await simulation.advance(searchMs);
      vitest.expect(simulation.followingCount).toBe(daemonCount - 2);
      vitest.expect(await changeTimeMs(simulation)).toBeLessThanOrEqual(boundMs - marginMs);
    },
  );
});
