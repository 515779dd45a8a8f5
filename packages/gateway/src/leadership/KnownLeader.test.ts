import * as vitest from 'vitest';
import { silentLogger } from '../testing/SilentLogger.js';
import { KnownLeader, type LeaderAnnouncement } from './KnownLeader.js';

function leader(holder: string, term: number): LeaderAnnouncement {
  return { holder, peerAddress: `${holder}:1`, term };
}

vitest.describe('the known leader', () => {
  vitest.test('is not replaced by an earlier one that a peer knows (guards against following a former leader)', () => {
    const known = new KnownLeader('self', silentLogger);
    known.learnFromPeer(leader('b', 5));
    known.learnFromPeer(leader('a', 3));
    known.learnFromPeer(leader('c', 5));
    vitest.expect(known.current).toEqual(leader('b', 5));
  });

  vitest.test(
    'is this daemon only by a record of the store (guards against a restarted daemon that follows nobody)',
    () => {
      const known = new KnownLeader('self', silentLogger);
      known.learnFromPeer(leader('self', 7));
      vitest.expect(known.current).toBeUndefined();
      known.learnFromStore(leader('self', 7));
      vitest.expect(known.isSelf).toBe(true);
    },
  );

  vitest.test('changes once for each term (guards against connections closed at each renewal)', () => {
    const known = new KnownLeader('self', silentLogger);
    const terms: number[] = [];
    known.onChanged(({ term }) => terms.push(term));
    for (const term of [1, 1, 2, 1]) {
      known.learnFromStore(leader('a', term));
    }
    vitest.expect(terms).toEqual([1, 2, 1]);
  });
});
