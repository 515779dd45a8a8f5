import * as vitest from 'vitest';
import { ChangeSimulation, type ChangeTimes } from '../testing/changes/ChangeSimulation.js';

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
/** Time for which changes are made, milliseconds. */
const changesMs = 7_000;
/** Time after the last change within which it must be in force at the latest, milliseconds. */
const settleMs = 6_000;

interface Way {
  readonly name: string;
  readonly disturb: (simulation: ChangeSimulation) => void;
}

const ways: readonly Way[] = [
  { name: 'sound leader', disturb: () => undefined },
  {
    name: 'refused leader',
    disturb: (simulation) => {
      simulation.setReachability('refused');
    },
  },
  {
    name: 'leader cut off',
    disturb: (simulation) => {
      simulation.setReachability('silent');
    },
  },
  {
    name: 'refused leader and followers',
    disturb: (simulation) => {
      simulation.setReachability('refused', { leader: true, followerShare: 0.35 });
    },
  },
  {
    name: 'leader refused for seconds',
    disturb: (simulation) => {
      simulation.setReachability('refused');
      setTimeout(() => {
        simulation.setReachability('served');
      }, 4_000);
    },
  },
  {
    name: 'leader cut off for seconds',
    disturb: (simulation) => {
      simulation.setReachability('silent');
      setTimeout(() => {
        simulation.setReachability('served');
      }, 4_000);
    },
  },
  {
    name: 'refused followers',
    disturb: (simulation) => {
      simulation.setReachability('refused', { leader: false, followerShare: 0.35 });
    },
  },
  {
    name: 'dropped history',
    disturb: (simulation) => {
      const timer = setInterval(() => {
        simulation.store.topics.replicas.dropHistory();
      }, 400);
      setTimeout(() => {
        clearInterval(timer);
      }, changesMs);
    },
  },
  {
    name: 'refused leader that is killed',
    disturb: (simulation) => {
      simulation.setReachability('refused');
      setTimeout(() => {
        void simulation.killLeader();
      }, 2_500);
    },
  },
  {
    name: 'killed leader',
    disturb: (simulation) => {
      void simulation.killLeader();
    },
  },
  {
    name: 'restarted leader',
    disturb: (simulation) => {
      void simulation.killLeader(700);
    },
  },
  {
    name: 'suspended leader',
    disturb: (simulation) => {
      simulation.suspendLeader();
    },
  },
];

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

/** Mulberry32, a small generator of pseudorandom numbers from 0 up to 1. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
