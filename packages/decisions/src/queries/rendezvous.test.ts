import * as vitest from 'vitest';
import { rankByRendezvous } from './rendezvous.js';

const members = ['a', 'b', 'c', 'd', 'e'];
const keys = Array.from({ length: 5000 }, (_none, index) => `key-${index}`);

vitest.describe('rankByRendezvous', () => {
  vitest.test('does not depend on the order of the members (guards against daemons that rank differently)', () => {
    vitest.expect(rankByRendezvous('k', [...members].reverse())).toEqual(rankByRendezvous('k', members));
  });

  vitest.test(
    'spreads keys evenly and moves only the keys of a removed member (guards against overloaded members)',
    () => {
      const counts = new Map<string, number>();
      for (const key of keys) {
        const ranked = rankByRendezvous(key, members);
        const first = ranked[0] ?? '';
        counts.set(first, (counts.get(first) ?? 0) + 1);
        vitest
          .expect(
            rankByRendezvous(
              key,
              members.filter((member) => member !== first),
            ),
          )
          .toEqual(ranked.slice(1));
      }
      for (const count of counts.values()) {
        vitest.expect(Math.abs(count - 1000)).toBeLessThan(120);
      }
    },
  );
});
