import * as vitest from 'vitest';
import { PeerChoice } from './PeerChoice.js';

const leader = { host: '10.0.0.1', port: 1 };
const seeds = [
  { host: '10.0.0.2', port: 1 },
  { host: '10.0.0.3', port: 1 },
];

vitest.describe('choice of the peer to follow', () => {
  vitest.test('is the leader while it may come back (guards against a star that falls apart at each restart)', () => {
    const choice = new PeerChoice(seeds);
    vitest.expect(choice.next(0)).toBe(seeds[0]);
    choice.setLeader(leader, 1_000);
    vitest.expect([1_000, 2_000, 4_900].map((nowMs) => choice.next(nowMs))).toEqual([leader, leader, leader]);
  });

  vitest.test('alternates once the leader is lost (guards against daemons that follow a leader that has ended)', () => {
    const choice = new PeerChoice(seeds);
    choice.setLeader(leader, 0);
    const chosen = [5_000, 5_300, 5_600, 5_900].map((nowMs) => choice.next(nowMs));
    vitest.expect(chosen).toEqual([seeds[0], leader, seeds[1], leader]);
  });

  vitest.test('leaves a seed that does not lead (guards against daemons that do not return to the leader)', () => {
    const choice = new PeerChoice(seeds);
    choice.setLeader(leader, 0);
    vitest.expect(choice.next(5_000)).toBe(seeds[0]);
    choice.recordMessage(false, 5_100);
    vitest.expect([choice.isSubstituteExpired(7_900), choice.isSubstituteExpired(8_000)]).toEqual([false, true]);
    vitest.expect(choice.next(8_000)).toBe(leader);
    vitest.expect(choice.isSubstituteExpired(20_000)).toBe(false);
  });

  vitest.test('stays with a seed that leads (guards against a connection that is given up again and again)', () => {
    const choice = new PeerChoice(seeds);
    choice.setLeader(leader, 0);
    choice.next(5_000);
    choice.recordMessage(true, 5_100);
    vitest.expect(choice.isSubstituteExpired(20_000)).toBe(false);
  });
});
