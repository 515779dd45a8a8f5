import * as vitest from 'vitest';
import { LeaderView } from './LeaderView.js';

const ends = { configuration: 0, replicas: 0 } as never;
const status = { leads: true, tellsChanges: true, daemonCount: 3, ends };

vitest.describe('what a daemon knows from its leader', () => {
  vitest.test('counts estimates down (guards against retry times that begin anew with each request)', () => {
    const view = new LeaderView();
    view.applyEstimates([{ model: 'm', readyInMs: 1_700 }], 0);
    vitest.expect(view.readyInMs('m', 1_000)).toBe(700);
    vitest.expect(view.readyInMs('m', 1_300)).toBeUndefined();
  });

  vitest.test('awaits the estimates of the first leader (guards against refusals after a power loss)', () => {
    const view = new LeaderView();
    view.applyStatus({ ...status, leads: false }, 0);
    vitest.expect(view.awaitsFirstLeader(19_000)).toBe(true);
    vitest.expect(view.awaitsFirstLeader(20_000)).toBe(true);
    view.applyStatus(status, 20_000);
    vitest.expect(view.awaitsFirstLeader(21_000)).toBe(true);
    vitest.expect(view.awaitsFirstLeader(21_500)).toBe(false);
  });

  vitest.test('does not await a leader for ever (guards against waits in vain at a daemon that is cut off)', () => {
    const view = new LeaderView();
    vitest.expect(view.awaitsFirstLeader(1_000)).toBe(true);
    vitest.expect(view.awaitsFirstLeader(8_000)).toBe(true);
    vitest.expect(view.awaitsFirstLeader(9_000)).toBe(false);
  });
});
