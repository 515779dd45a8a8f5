import * as vitest from 'vitest';
import { fitLine } from './fitLine.js';

vitest.describe('fitLine', () => {
  vitest.test('finds the line behind exact points (guards against slopes that mislead the capacity page)', () => {
    const line = fitLine([0, 1, 2, 5].map((x) => ({ x, y: 3 + 2 * x })));
    vitest.expect(line?.slope).toBeCloseTo(2, 12);
    vitest.expect(line?.intercept).toBeCloseTo(3, 12);
    vitest.expect(line?.residual).toBeCloseTo(0, 12);
    vitest.expect(line?.slopeError).toBeCloseTo(0, 12);
  });

  vitest.test('states the residual of scattered points (guards against a spread that is not reported)', () => {
    // By hand: means 1 and 1, slope 1/2, intercept 1/2, differences 1/2, -1, 1/2.
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

  vitest.test('refuses points without a spread in x (guards against an infinite slope)', () => {
    const y = [1, 2];
    vitest.expect(fitLine(y.map((value) => ({ x: 3, y: value })))).toBeUndefined();
    vitest.expect(fitLine([])).toBeUndefined();
  });
});
