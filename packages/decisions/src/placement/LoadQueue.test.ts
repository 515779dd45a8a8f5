import * as fc from 'fast-check';
import * as vitest from 'vitest';
import type { ModelSettings } from '../Types.js';
import { LoadQueue, type LoadQueueRequest } from './LoadQueue.js';
import { TokenBucket } from './TokenBucket.js';

function request(
  partner: string,
  model: string,
  bytes: number,
  urgency: 'interactive' | 'batch' = 'interactive',
): LoadQueueRequest {
  const settings = { partner, model, version: '1', weightBytes: [bytes], cacheBytes: 0 } as unknown as ModelSettings;
  return { settings, urgency, replicas: 1, remainingMs: 60_000, waiting: 1 };
}

function names(queue: LoadQueue, nowMs: number): readonly string[] {
  return queue.ordered(nowMs).map((entry) => `${entry.settings.partner}/${entry.settings.model}`);
}

vitest.describe('LoadQueue', () => {
  vitest.test('orders interactive before batch and small before large (guards against long cold starts)', () => {
    const queue = new LoadQueue();
    queue.add(request('solano', 'batch', 1, 'batch'), 0);
    queue.add(request('solano', 'big', 100), 0);
    queue.add(request('solano', 'small', 10), 1);
    vitest.expect(names(queue, 2)).toEqual(['solano/small', 'solano/big', 'solano/batch']);
    vitest.expect(queue.position(request('solano', 'big', 100).settings, 2)).toBe(1);
  });

  vitest.test('orders a large load first once it has waited long enough (guards against starvation)', () => {
    const queue = new LoadQueue();
    queue.add(request('solano', 'big', 100), 0);
    queue.add(request('solano', 'big', 100), 4_000);
    queue.add(request('solano', 'small', 10), 5_500);
    vitest.expect(names(queue, 5_600)).toEqual(['solano/big', 'solano/small']);
  });

  vitest.test('one interactive request makes the entry interactive (guards against a wait behind batch work)', () => {
    const queue = new LoadQueue();
    queue.add(request('solano', 'm', 10, 'batch'), 0);
    queue.add(request('solano', 'm', 10), 0);
    queue.add(request('solano', 'm', 10, 'batch'), 0);
    vitest.expect(queue.ordered(0)[0]?.urgency).toBe('interactive');
  });

  vitest.test('drops entries that are not renewed (guards against loads for callers that have disconnected)', () => {
    const queue = new LoadQueue();
    queue.add(request('solano', 'm', 10), 0);
    queue.dropStale(4_000);
    vitest.expect(queue.size).toBe(1);
    queue.dropStale(6_000);
    vitest.expect(queue.size).toBe(0);
  });

  vitest.test('shares loads between partners by weight (guards against one partner getting every load)', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 9 }), (tenths) => {
        const weights = { solano: tenths / 10, cascade: 1 - tenths / 10 };
        const queue = new LoadQueue();
        const turns = { solano: 0, cascade: 0 };
        for (let turn = 0; turn < 200; turn += 1) {
          queue.add(request('solano', 'm', 10), turn);
          queue.add(request('cascade', 'm', 50), turn);
          const partner = queue.ordered(turn)[0]?.settings.partner === 'solano' ? 'solano' : 'cascade';
          turns[partner] += 1;
          queue.charge(partner, 100, weights[partner]);
        }
        vitest.expect(Math.abs(turns.solano - 200 * weights.solano)).toBeLessThanOrEqual(2);
      }),
    );
  });
});

vitest.describe('TokenBucket', () => {
  vitest.test('exceeds its rate by at most a burst of one second (guards against an overloaded weight store)', () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 10 }),
        fc.array(fc.integer({ min: 0, max: 500 }), { maxLength: 100 }),
        (rate, pauses) => {
          const bucket = new TokenBucket(rate, 0);
          let nowMs = 0;
          let taken = 0;
          for (const pauseMs of pauses) {
            nowMs += pauseMs;
            taken += bucket.take(nowMs) ? 1 : 0;
          }
          vitest.expect(taken).toBeLessThanOrEqual(rate + (nowMs / 1_000) * rate + 1e-6);
        },
      ),
    );
  });

  vitest.test('slows down while loads are slow and recovers (guards against an overloaded weight store)', () => {
    const bucket = new TokenBucket(5, 0);
    for (let load = 0; load < 20; load += 1) {
      bucket.observe(100, 1_000);
    }
    vitest.expect(bucket.perSecond).toBe(1);
    for (let load = 0; load < 100; load += 1) {
      bucket.observe(100, 100);
    }
    vitest.expect(bucket.perSecond).toBe(5);
  });
});
