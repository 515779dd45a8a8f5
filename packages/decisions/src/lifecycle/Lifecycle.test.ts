import * as vitest from 'vitest';
import { daemonLifecycle, orderLifecycle, replicaLifecycle } from './Lifecycle.js';

vitest.describe('Lifecycle', () => {
  vitest.test.each([
    [replicaLifecycle, 'loading', 'replicaReady', 'ready'],
    [replicaLifecycle, 'unloading', 'replicaReady', undefined],
    [replicaLifecycle, 'ready', 'replicaUnloaded', undefined],
    [orderLifecycle, 'unsettled', 'adopted', 'unsettled'],
    [orderLifecycle, 'detached', 'adopted', undefined],
    [orderLifecycle, 'settled', 'adopted', undefined],
    [daemonLifecycle, 'joined', 'successorStarted', undefined],
    [daemonLifecycle, 'replaced', 'successorStarted', 'departed'],
  ])(
    'the chart determines which events a state allows (guards against a chart that is ignored) %#',
    (lifecycle, state, event, nextState) => {
      vitest.expect(lifecycle.next(state, event)).toBe(nextState);
      vitest.expect(lifecycle.next(state, event)).toBe(nextState);
    },
  );
});
