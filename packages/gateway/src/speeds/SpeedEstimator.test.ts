import * as vitest from 'vitest';
import { seededRandom } from '../testing/seededRandom.js';
import { SpeedEstimator } from './SpeedEstimator.js';

const speeds: Readonly<Record<string, number>> = { fast: 0.6, usual: 1, slow: 1.6 };
/** The large model is held by the slow replica alone but for a few streams. */
const models = [
  { name: 'small', gapMs: 10, replicas: ['fast', 'usual'] },
  { name: 'large', gapMs: 60, replicas: ['slow', 'slow', 'slow', 'usual'] },
];

function estimate(slowMomentShare: number): Readonly<Record<string, number>> {
  const random = seededRandom(1);
  const estimator = new SpeedEstimator();
  for (let stream = 0; stream < 600; stream += 1) {
    const model = models[stream % models.length];
    const replicaId = model?.replicas[Math.floor(random() * model.replicas.length)] ?? '';
    const moment = random() < slowMomentShare ? 2.5 : 1;
    const eventGapMs = (model?.gapMs ?? 0) * (speeds[replicaId] ?? 1) * moment;
    estimator.apply([{ replicaId, model: model?.name ?? '', streams: 1, eventGapMs }]);
  }
  return estimator.slowness();
}

vitest.describe('SpeedEstimator', () => {
  vitest.test(
    'tells a slow replica from a slow model (guards against replicas that are avoided for their models)',
    () => {
      const { fast = 0, usual = 0, slow = 0 } = estimate(0);
      vitest.expect(slow / fast).toBeGreaterThan(1.6);
      vitest.expect(usual).toBeGreaterThan(fast);
      vitest.expect(slow).toBeGreaterThan(usual);
    },
  );

  vitest.test('keeps the order of replicas beside slow moments (guards against choices by chance)', () => {
    const { fast = 0, usual = 0, slow = 0 } = estimate(0.15);
    vitest.expect(usual).toBeGreaterThan(fast);
    vitest.expect(slow).toBeGreaterThan(usual);
  });

  vitest.test(
    'ignores reports without a gap and replicas with few streams (guards against estimates from one stream)',
    () => {
      const estimator = new SpeedEstimator();
      estimator.apply([
        { replicaId: 'a', model: 'm', streams: 9, eventGapMs: 0 },
        { replicaId: 'b', model: 'm', streams: 1, eventGapMs: 500 },
        { replicaId: 'c', model: 'm', streams: 9, eventGapMs: 50 },
      ]);
      vitest.expect(Object.keys(estimator.slowness())).toEqual(['c']);
    },
  );
});
