import * as vitest from 'vitest';
import { type OrderedRequest, TenantTurns } from './TenantTurns.js';

interface NamedRequest extends OrderedRequest {
  readonly name: string;
}

function request(name: string, changes: Partial<OrderedRequest> = {}): NamedRequest {
  const times = { lateAtMs: 1_000, leavesAtMs: 4_000 };
  return { name, urgency: 1, ...times, sizeBytes: 0, tenantName: undefined, ...changes };
}

function names(requests: readonly NamedRequest[], turns = new TenantTurns(), nowMs = 0): string {
  return turns
    .order(requests, nowMs)
    .map(({ name }) => name)
    .join(' ');
}

vitest.describe('order of waiting requests', () => {
  vitest.test('is urgency, then time left, then size (guards against requests that are late for nothing)', () => {
    const requests = [
      request('large', { sizeBytes: 9_000 }),
      request('small', { lateAtMs: 1_050 }),
      request('late', { lateAtMs: -5_000, leavesAtMs: 800 }),
      request('lost', { lateAtMs: -1, leavesAtMs: 9_000 }),
      request('urgent', { urgency: 0, lateAtMs: 20_000 }),
    ];
    vitest.expect(names(requests)).toBe('urgent late small large lost');
  });

  vitest.test('gives tenants equal turns (guards against a tenant that sends many times its usual rate)', () => {
    const surge = Array.from({ length: 40 }, (_none, index) => request(`a${index}`, { tenantName: 'a' }));
    const others = ['b', 'c'].map((tenantName) => request(tenantName, { tenantName, lateAtMs: 2_000 }));
    vitest.expect(names([...surge, ...others])).toMatch(/^a0 b c a1 a2 /);
  });

  vitest.test('serves every tenant a quarter of the mean or more (guards against starvation)', () => {
    const turns = new TenantTurns();
    const rates = { a: 40, b: 2, c: 1 };
    const served = new Map<string, number>();
    let waiting: NamedRequest[] = [];
    for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
      for (const [tenantName, count] of Object.entries(rates)) {
        const times = { lateAtMs: nowMs + 400, leavesAtMs: nowMs + 2_000 };
        waiting.push(...Array.from({ length: count }, () => request(tenantName, { tenantName, ...times })));
      }
      // Room for three requests, of 43 that arrive.
      for (const one of turns.order(waiting, nowMs).slice(0, 3)) {
        turns.recordServed(one.tenantName);
        served.set(one.name, (served.get(one.name) ?? 0) + 1);
        waiting = waiting.filter((other) => other !== one);
      }
      waiting = waiting.filter(({ leavesAtMs }) => leavesAtMs > nowMs);
    }
    vitest.expect(Math.min(...served.values())).toBeGreaterThan(900 / 3 / 4);
    vitest.expect(served.size).toBe(3);
  });

  vitest.test(
    'accumulates no turns for a tenant without requests (guards against a burst that stops all others)',
    () => {
      const turns = new TenantTurns();
      Array.from({ length: 50 }, () => {
        turns.recordServed('a');
      });
      const burst = Array.from({ length: 5 }, () => request('b', { tenantName: 'b' }));
      const own = Array.from({ length: 5 }, () => request('a', { tenantName: 'a', lateAtMs: 2_000 }));
      vitest.expect(names([...burst, ...own], turns)).toBe('b b a b a b a b a a');
    },
  );
});
