import * as vitest from 'vitest';
import { responseLimitMs } from './CallerResponse.js';

vitest.describe('responseLimitMs', () => {
  vitest.test('allows for a stall as long as recent ones (guards against responses after the deadline)', () => {
    const stallMs = 60;
    vitest.expect(2_000 - responseLimitMs(2_000, stallMs)).toBeGreaterThanOrEqual(stallMs + 25);
  });

  vitest.test(
    'keeps most of a short deadline for the request (guards against responses that end far too early)',
    () => {
      vitest.expect(responseLimitMs(300, 500)).toBeGreaterThanOrEqual(225);
      vitest.expect(responseLimitMs(300, 0)).toBe(275);
    },
  );
});
