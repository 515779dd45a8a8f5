import * as vitest from 'vitest';
import { answerTimeMs } from './CallerAnswer.js';

vitest.describe('time of the final answer', () => {
  vitest.test('leaves room for a stall as long as recent ones (guards against answers after the deadline)', () => {
    const stallMs = 60;
    vitest.expect(2_000 - answerTimeMs(2_000, stallMs)).toBeGreaterThanOrEqual(stallMs + 25);
  });

  vitest.test('keeps most of a short deadline for the request (guards against answers that come far too early)', () => {
    vitest.expect(answerTimeMs(300, 500)).toBeGreaterThanOrEqual(225);
    vitest.expect(answerTimeMs(300, 0)).toBe(275);
  });
});
