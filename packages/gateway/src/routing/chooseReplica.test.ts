import * as vitest from 'vitest';
import { sampleReplica } from '../testing/sampleReplica.js';
import { seededRandom } from '../testing/seededRandom.js';
import { type Candidate, chooseReplica } from './chooseReplica.js';

function candidate(id: string, changes: Partial<Candidate> = {}): Candidate {
  return {
    replica: sampleReplica({ id, slots: 24 }),
    running: 0,
    knownRunning: changes.running ?? 0,
    reportAgeMs: 0,
    runMs: 1_000,
    slowness: 1,
    failureShare: 0,
    isUnreachable: false,
    hasPromptParts: false,
    hasConnection: false,
    ...changes,
  };
}

/** Share of the choices of each candidate. */
function shares(candidates: readonly Candidate[]): readonly number[] {
  const random = seededRandom(1);
  const counts = candidates.map(() => 0);
  for (let run = 0; run < 1_000; run += 1) {
    const chosen = chooseReplica(candidates, 'a', random);
    const index = candidates.findIndex((one) => one === chosen);
    counts[index] = (counts[index] ?? 0) + 1;
  }
  return counts.map((count) => count / 1_000);
}

const otherDomain = sampleReplica({ id: 'far', slots: 24, failureDomain: 'b' });

vitest.describe('choice of a replica', () => {
  vitest.test('takes the least loaded by fresh reports (guards against choices at random without need)', () => {
    vitest.expect(shares([candidate('r1', { running: 5 }), candidate('r2', { running: 3 })])).toEqual([0, 1]);
  });

  vitest.test('follows the expected sends of others by old reports (guards against herding)', () => {
    const old = { running: 12, knownRunning: 4 };
    const [first = 0, second = 0] = shares([candidate('r1', old), candidate('r2', { ...old, knownRunning: 2 })]);
    vitest.expect(first).toBeGreaterThan(0.3);
    vitest.expect(second).toBeGreaterThan(first);
  });

  vitest.test('prefers a fast replica to an equally loaded slow one (guards against ignored speed)', () => {
    const slow = { running: 12, slowness: 2.5, runMs: 2_500 };
    vitest.expect(shares([candidate('r1', slow), candidate('r2', { running: 14 })])).toEqual([0, 1]);
  });

  vitest.test.each([
    ['its failure domain', { replica: otherDomain }, {}, 1],
    ['known prompt parts', {}, { hasPromptParts: true }, 1],
    ['few failures', { failureShare: 0.2 }, {}, 1],
    ['a connection', { running: 12 }, { running: 12, hasConnection: true }, 0.9],
    ['a reachable replica', { isUnreachable: true }, { running: 100 }, 1],
  ])('prefers %s (guards against a lost preference)', (_name, other, preferred, share) => {
    const [, chosen = 0] = shares([candidate('r1', other), candidate('r2', preferred)]);
    vitest.expect(chosen).toBeGreaterThanOrEqual(share);
  });

  vitest.test(
    'uses idle replicas without a connection as well (guards against a daemon that keeps to one replica)',
    () => {
      const [, other = 0] = shares([candidate('r1', { hasConnection: true }), candidate('r2')]);
      vitest.expect(other).toBeGreaterThan(0.4);
    },
  );

  vitest.test('leaves a replica with a connection that is fuller (guards against uneven load by affinity)', () => {
    const fuller = candidate('r1', { running: 6, hasConnection: true });
    vitest.expect(shares([fuller, candidate('r2', { running: 2 })])).toEqual([0, 1]);
  });
});
