import * as vitest from 'vitest';
import { EventGaps } from './EventGaps.js';

vitest.describe('EventGaps', () => {
  vitest.test('leaves out the time to the first event (guards against long prompts that count as slowness)', () => {
    const gaps = new EventGaps();
    [1, 2, 4, 5].forEach((events, index) => {
      gaps.record(events, 1_000 + ([0, 50, 150, 200][index] ?? 0));
    });
    vitest.expect(gaps.meanMs).toBe(50);
  });

  vitest.test('says nothing of a short stream (guards against estimates from one gap)', () => {
    const gaps = new EventGaps();
    gaps.record(1, 0);
    gaps.record(2, 900);
    vitest.expect(gaps.meanMs).toBeUndefined();
  });
});
