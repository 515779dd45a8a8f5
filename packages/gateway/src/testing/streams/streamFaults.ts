import { lifetimeMs } from './streamLimits.js';
import type { StreamSimulation } from './StreamSimulation.js';

/** A change of the surroundings of a simulation. */
export interface StreamFault {
  readonly name: string;
  readonly begin: (simulation: StreamSimulation) => void;
}

/** All versions that may serve. */
const versions: readonly string[] = ['v1', 'v2', 'v3'];

/** Releases: versions that come, go and come back. */
export const releases: readonly StreamFault[] = [
  {
    name: 'a version comes',
    begin: (simulation) => {
      const absent = versions.filter((version) => !simulation.versions.includes(version));
      const added = simulation.time.pick(absent);
      simulation.versions = [...simulation.versions, ...(added === undefined ? [] : [added])];
    },
  },
  {
    name: 'a version goes',
    begin: (simulation) => {
      const removed = simulation.time.pick(simulation.versions);
      if (simulation.versions.length > 1) {
        simulation.versions = simulation.versions.filter((version) => version !== removed);
      }
    },
  },
  {
    name: 'all versions serve',
    begin: (simulation) => {
      simulation.versions = versions;
    },
  },
  {
    name: 'one version replaces all',
    begin: (simulation) => {
      simulation.versions = [simulation.time.pick(versions) ?? 'v1'];
    },
  },
];

/** Daemons that end or freeze. */
export const daemonFaults: readonly StreamFault[] = [
  {
    name: 'one daemon ends',
    begin: (simulation) => {
      kill(simulation, [simulation.time.pick(slots(simulation)) ?? 0]);
    },
  },
  {
    name: 'some daemons end',
    begin: (simulation) => {
      const share = simulation.time.between(0.2, 0.9);
      kill(
        simulation,
        slots(simulation).filter(() => simulation.time.between(0, 1) < share),
      );
    },
  },
  {
    name: 'the leader ends',
    begin: (simulation) => {
      const leader = simulation.leaseHolder();
      kill(
        simulation,
        slots(simulation).filter((slot) => simulation.processes[slot] === leader),
      );
    },
  },
  {
    name: 'the leader freezes',
    begin: (simulation) => {
      const leader = simulation.leaseHolder();
      leader?.freeze();
      simulation.time.after(simulation.time.between(300, 6_000), () => {
        leader?.thaw();
      });
    },
  },
];

/** Daemons that are out of step for some seconds: they stand still, or reach neither their peers nor the store, or one of them. */
export const lonelyDaemons: readonly StreamFault[] = [
  {
    name: 'a daemon stands still',
    begin: (simulation) => {
      const daemon = simulation.time.pick(simulation.running);
      daemon?.freeze();
      simulation.time.after(simulation.time.between(300, 6_000), () => {
        daemon?.thaw(() => {
          simulation.callers.takeUpAt(daemon);
        });
      });
    },
  },
  ...[
    { peers: true, store: true },
    { peers: true, store: false },
    { peers: false, store: true },
  ].flatMap((cutOff) =>
    [false, true].map((isLeader) => {
      const from = `${cutOff.peers ? ' its peers' : ''}${cutOff.store ? ' the store' : ''}`;
      return {
        name: `${isLeader ? 'the leader' : 'a daemon'} is cut off from${from}`,
        begin: (simulation: StreamSimulation) => {
          const daemon = isLeader ? simulation.leaseHolder() : simulation.time.pick(simulation.running);
          if (daemon !== undefined) {
            daemon.cutOff = cutOff;
            simulation.time.after(simulation.time.between(300, 6_000), () => {
              daemon.cutOff = { peers: false, store: false };
              simulation.callers.takeUpAt(daemon);
            });
          }
        },
      };
    }),
  ),
];

/** All daemons end at once. */
export const totalLoss: StreamFault = {
  name: 'all daemons end',
  begin: (simulation) => {
    kill(simulation, slots(simulation));
  },
};

/** Faults of the store, from which it recovers without a loss. */
export const storeFaults: readonly StreamFault[] = [
  {
    name: 'the store is down',
    begin: (simulation) => {
      simulation.store.isDown = true;
      endStoreFault(simulation, simulation.time.between(300, 5_000));
    },
  },
  {
    name: 'the store is late',
    begin: (simulation) => {
      simulation.store.callMs = () => simulation.time.between(300, 900);
      endStoreFault(simulation, simulation.time.between(2_000, 8_000));
    },
  },
  {
    name: 'the store loses answers',
    begin: (simulation) => {
      simulation.store.losesAnswer = () => simulation.time.between(0, 1) < 0.5;
      endStoreFault(simulation, simulation.time.between(1_000, 4_000));
    },
  },
];

/** The store is restored from an earlier copy. */
export const restores: readonly StreamFault[] = [
  { name: 'the store is copied', begin: copy },
  { name: 'the store is copied again', begin: copy },
  { name: 'the store is restored', begin: restore },
  {
    name: 'the store is restored and all daemons end',
    begin: (simulation) => {
      restore(simulation);
      totalLoss.begin(simulation);
    },
  },
];

/** Time after which a version that has left is forgotten, milliseconds. */
const calmMs = lifetimeMs + 2_000;
/** Longest pause between two faults, milliseconds. */
const longestPauseMs = 1_500;

/** Plays rounds of faults, each after a time of one version; returns what was played, with the times. */
export async function playFaults(
  simulation: StreamSimulation,
  faults: readonly StreamFault[],
  rounds: number,
): Promise<readonly string[]> {
  const { time } = simulation;
  const played: string[] = [];
  for (let round = 0; round < rounds; round += 1) {
    simulation.versions = [time.pick(versions) ?? 'v1'];
    await simulation.advance(calmMs);
    for (let remaining = time.between(2, 9); remaining > 1; remaining -= 1) {
      const fault = time.pick(faults);
      fault?.begin(simulation);
      played.push(`${simulation.nowMs} ms: ${fault?.name ?? ''}, serving ${simulation.versions.join()}`);
      await simulation.advance(time.between(20, longestPauseMs));
    }
  }
  return played;
}

function slots(simulation: StreamSimulation): readonly number[] {
  return [...simulation.processes.keys()];
}

/** Ends daemons, of which half start again at once. */
function kill(simulation: StreamSimulation, killed: readonly number[]): void {
  const { time } = simulation;
  simulation.kill(killed, () => (time.between(0, 1) < 0.5 ? time.between(20, 300) : time.between(300, 3_500)));
}

function copy(simulation: StreamSimulation): void {
  simulation.store.topic.copy();
}

function restore(simulation: StreamSimulation): void {
  simulation.store.restore();
  simulation.lastRestoreMs = simulation.nowMs;
}

function endStoreFault(simulation: StreamSimulation, durationMs: number): void {
  const { store } = simulation;
  simulation.lastUnsoundMs = simulation.nowMs + durationMs;
  simulation.time.after(durationMs, () => {
    store.isDown = false;
    store.callMs = () => 8;
    store.losesAnswer = () => false;
  });
}
