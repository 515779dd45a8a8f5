import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { chooseTarget, estimatedLoad } from './chooseTarget.js';
import { isAmbiguousPath, isIdempotentRoute, uuidV7Time } from './idempotentRoute.js';
import { depositRequest, initialRetryBudget, withdrawRetry } from './retryBudget.js';
import type { RetryBudget, RouteCandidate } from './Types.js';

function candidate(target: string, overrides: Partial<RouteCandidate> = {}): RouteCandidate {
  return { target, inFlight: 0, othersInFlight: 0, digestAgeMs: 0, slots: 8, reachable: true, ...overrides };
}

const draw = fastCheck.double({ min: 0, max: 0.999999, noNaN: true });

vitest.describe('chooseTarget', () => {
  vitest.test('never chooses the most loaded of several targets (guards against herding)', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.integer({ min: 2, max: 9 }), draw, draw, (count, first, second) => {
        const candidates = Array.from({ length: count }, (_, index) => candidate(`t${index}`, { inFlight: index }));
        const chosen = chooseTarget(candidates, undefined, [first, second]);
        vitest.expect(chosen?.inFlight).toBeLessThan(count - 1);
      }),
    );
  });

  vitest.test('counts a steady load in full between its reports (guards against overloading a busy target)', () => {
    const steady = estimatedLoad(candidate('t', { othersInFlight: 8, digestAgeMs: 4_500 }));
    vitest.expect(steady).toBe(1);
  });

  vitest.test('gives a stale digest less weight (guards against decisions based on outdated load)', () => {
    const fresh = estimatedLoad(candidate('t', { othersInFlight: 8 }));
    const stale = estimatedLoad(candidate('t', { othersInFlight: 8, digestAgeMs: 20_000 }));
    vitest.expect(fresh).toBe(1);
    vitest.expect(stale).toBeLessThan(0.01);
  });

  vitest.test(
    'prefers the target with the cached prefix unless it is loaded (guards against cache misses and hot spots)',
    () => {
      const calm = [candidate('a'), candidate('b', { inFlight: 2 })];
      vitest.expect(chooseTarget(calm, 'b', [0, 0])?.target).toBe('b');
      const loaded = [candidate('a'), candidate('b', { inFlight: 6 })];
      vitest.expect(chooseTarget(loaded, 'b', [0, 0])?.target).toBe('a');
    },
  );

  vitest.test('uses an unreachable target only as a last resort (guards against a collector that is cut off)', () => {
    const unreachable = candidate('a', { reachable: false });
    vitest.expect(chooseTarget([unreachable, candidate('b', { inFlight: 50 })], 'a', [0, 0])?.target).toBe('b');
    vitest.expect(chooseTarget([unreachable], undefined, [0, 0])?.target).toBe('a');
    vitest.expect(chooseTarget([], 'a', [0, 0])).toBeUndefined();
  });
});

vitest.describe('retryBudget', () => {
  vitest.test('limits retries to their share of the requests (guards against retry storms)', () => {
    let budget: RetryBudget | undefined = initialRetryBudget;
    let retries = 0;
    for (let request = 0; request < 10_000; request += 1) {
      const deposited: RetryBudget = depositRequest(budget, 0.2);
      const rest = withdrawRetry(deposited);
      retries += rest ? 1 : 0;
      budget = rest ?? deposited;
    }
    vitest.expect(retries).toBeLessThanOrEqual(2_100);
    vitest.expect(retries).toBeGreaterThanOrEqual(2_000);
  });
});

vitest.describe('idempotentRoute', () => {
  vitest.test('matches whole segments and the method (guards against repeating another route)', () => {
    const routes = ['GET /lists', 'POST /quotes/'];
    vitest.expect(isIdempotentRoute(routes, 'GET', '/lists')).toBe(true);
    vitest.expect(isIdempotentRoute(routes, 'GET', '/lists/3')).toBe(true);
    vitest.expect(isIdempotentRoute(routes, 'GET', '/lists3')).toBe(false);
    vitest.expect(isIdempotentRoute(routes, 'POST', '/lists')).toBe(false);
    vitest.expect(isIdempotentRoute(routes, 'POST', '/quotes/1')).toBe(true);
  });

  vitest.test('detects paths that may resolve to another route (guards against path traversal)', () => {
    for (const path of ['/a/../b', '/a/.', '/a/%2E%2e/b', '/a%2Fb', '//a', '/a\\b', '/a/..']) {
      vitest.expect(isAmbiguousPath(path), path).toBe(true);
    }
    vitest.expect(isAmbiguousPath('/a/.well-known/b..c/%41')).toBe(false);
  });

  vitest.test('reads the time of UUIDv7 keys only (guards against refusing opaque keys)', () => {
    vitest.expect(uuidV7Time('01890a5d-ac96-774b-bcce-b302099a8057')).toBe(0x01890a5dac96);
    vitest.expect(uuidV7Time('01890a5d-ac96-474b-bcce-b302099a8057')).toBeUndefined();
    vitest.expect(uuidV7Time('order-7')).toBeUndefined();
  });
});
