import type { ChangeSimulation } from './ChangeSimulation.js';

/** Time for which changes are made, milliseconds. */
export const changesMs = 7_000;

/** A way in which changes can travel, or be held up. */
export interface Way {
  readonly name: string;
  readonly disturb: (simulation: ChangeSimulation) => void;
}

/** All ways that are timed. */
export const ways: readonly Way[] = [
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
