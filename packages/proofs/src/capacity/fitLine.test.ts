import * as vitest from 'vitest';
import { fitLine } from './fitLine.js';

vitest.describe('fitLine', () => {
  vitest.test('finds the line through exact points (guards against wrong slopes in the capacity results)', () => {
    const line = fitLine([0, 1, 2, 5].map((x) => ({ x, y: 3 + 2 * x })));
    vitest.expect(line?.slope).toBeCloseTo(2, 12);
    vitest.expect(line?.intercept).toBeCloseTo(3, 12);
    vitest.expect(line?.residual).toBeCloseTo(0, 12);
    vitest.expect(line?.slopeError).toBeCloseTo(0, 12);
  });

  vitest.test('returns the residual of scattered points (guards against an unreported spread)', () => {
    // Calculated by hand: means 1 and 1, slope 1/2, intercept 1/2, differences 1/2, -1, 1/2.
    const line = fitLine([
      { x: 0, y: 1 },
      { x: 1, y: 0 },
      { x: 2, y: 2 },
    ]);
    vitest.expect(line?.slope).toBeCloseTo(0.5, 12);
    vitest.expect(line?.intercept).toBeCloseTo(0.5, 12);
    vitest.expect(line?.residual).toBeCloseTo(Math.sqrt(0.5), 12);
    vitest.expect(line?.slopeError).toBeCloseTo(Math.sqrt(0.75), 12);
  });

  vitest.test('returns undefined for points without a spread in x (guards against an infinite slope)', () => {
    const y = [1, 2];
    vitest.expect(fitLine(y.map((value) => ({ x: 3, y: value })))).toBeUndefined();
    vitest.expect(fitLine([])).toBeUndefined();
  });
});
