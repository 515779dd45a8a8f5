import * as vitest from 'vitest';
import { PromisedReturns, type ReturnCapacity } from './PromisedReturns.js';
import { WaitingRequests } from './WaitingRequests.js';

const modelReference = { model: 'm' };
const times = { callerTimeoutMs: 2_000, latencyTargetMs: 400 };
const capacity: ReturnCapacity = { key: 'm', spacingMs: 60, spreadMs: 0, modelReference, ...times };
const window = { firstMs: 1_000, lastMs: 3_000, isServed: true };

vitest.describe('returns promised to refused callers', () => {
  vitest.test('come one after another as capacity appears (guards against callers that are refused again)', () => {
    const returns = new PromisedReturns(() => 0);
    const promised = Array.from({ length: 4 }, () => returns.promise(capacity, window, 0));
    vitest.expect(promised).toEqual([1_000, 1_060, 1_120, 1_180]);
    vitest.expect(returns.promise({ ...capacity, key: 'n' }, window, 0)).toBe(1_000);
  });

  vitest.test(
    'are spread over the time in which capacity appears (guards against returns of all daemons at once)',
    () => {
      const returns = new PromisedReturns(() => 0.5);
      vitest.expect(returns.promise({ ...capacity, spreadMs: 800 }, window, 0)).toBe(1_400);
      vitest.expect(returns.promise({ ...capacity, key: 'n', spreadMs: 80_000 }, window, 0)).toBe(2_000);
    },
  );

  vitest.test('stay within the time that callers honour (guards against times that are ignored)', () => {
    const returns = new PromisedReturns(() => 0.5);
    const promised = Array.from({ length: 60 }, () => returns.promise(capacity, window, 0));
    vitest.expect(Math.max(...promised)).toBeLessThanOrEqual(window.lastMs);
  });

  vitest.test('count as waited for until then (guards against models that are not loaded when callers return)', () => {
    const requests = new WaitingRequests();
    requests.returns.promise(capacity, { ...window, lastMs: 1_000 }, 0);
    vitest
      .expect(requests.report(600))
      .toEqual([{ target: modelReference, count: 1, slackMs: 800, callerTimeoutMs: 2_400 }]);
    vitest.expect(requests.report(1_000)).toEqual([]);
    requests.returns.promise(capacity, { ...window, isServed: false }, 2_000);
    vitest.expect(requests.report(2_000)).toEqual([]);
  });
});
