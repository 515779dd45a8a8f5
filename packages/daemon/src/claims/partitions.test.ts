import * as vitest from 'vitest';
import type { PeerMember } from '../Types.js';
import { holdersOf } from './partitions.js';

function membersWith(suspected: string): readonly PeerMember[] {
  return ['a#1', 'b#1', 'c#1'].map((incarnation) => ({
    incarnation,
    daemon: incarnation.slice(0, 1),
    failureDomain: 'fd-a',
    suspected: incarnation === suspected,
    self: false,
  }));
}

vitest.describe('holdersOf', () => {
  vitest.test('ranks again for another list of members (guards against a holder that has failed)', () => {
    const before = membersWith('');
    const [first = '', ...others] = holdersOf(2, before);
    vitest.expect(holdersOf(2, membersWith(first))).toEqual(others);
    vitest.expect(holdersOf(2, before)).toEqual([first, ...others]);
  });

  vitest.test('ranks each partition separately (guards against one holder for all partitions)', () => {
    const members = membersWith('');
    const firsts = Array.from({ length: 32 }, (_none, partition) => holdersOf(partition, members)[0]);
    vitest.expect(new Set(firsts).size).toBe(3);
  });
});
