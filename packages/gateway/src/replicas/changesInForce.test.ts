import * as vitest from 'vitest';
import { ChangeSimulation, type ChangeTimes } from '../testing/changes/ChangeSimulation.js';
import { changesMs, type Way, ways } from '../testing/changes/ways.js';
import { seededRandom } from '../testing/seededRandom.js';

/** Numbers of daemons with the time within which a change must be in force there, milliseconds. */
const sizes = [
  { daemonCount: 9, boundMs: 2_000 },
  { daemonCount: 76, boundMs: 3_000 },
  { daemonCount: 300, boundMs: 4_000 },
] as const;
/** Part of each bound that stays free for slow machines and for requests on their way, milliseconds. */
const marginMs = 400;
/** Replicas, of which one is removed with each change. */
const replicaCount = 40;
/** Time after the last change within which it must be in force at the latest, milliseconds. */
const settleMs = 6_000;

vitest.describe('a change in the store', () => {
  vitest.beforeEach(() => {
    vitest.vi.useFakeTimers({ now: 1_000_000 });
    const random = seededRandom(42);
    vitest.vi.spyOn(Math, 'random').mockImplementation(random);
  });

  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
    vitest.vi.restoreAllMocks();
  });

  async function play(daemonCount: number, { disturb }: Way): Promise<ChangeTimes> {
    const simulation = new ChangeSimulation(daemonCount);
    await simulation.open(replicaCount);
    disturb(simulation);
    const times = await simulation.change(changesMs, settleMs);
    await simulation[Symbol.asyncDispose]();
    return times;
  }

  vitest.test.each(ways.map((way) => [way.name, way] as const))(
    'is in force in time at every size: %s (guards against requests to replicas that have left)',
    async (_name, way) => {
      const late: string[] = [];
      for (const { daemonCount, boundMs } of sizes) {
        const { removalMs, configurationMs } = await play(daemonCount, way);
        if (Math.max(removalMs, configurationMs) > boundMs - marginMs) {
          late.push(`${daemonCount} daemons: removal ${removalMs} ms, configuration ${configurationMs} ms`);
        }
      }
      vitest.expect(late).toEqual([]);
    },
  );
});
