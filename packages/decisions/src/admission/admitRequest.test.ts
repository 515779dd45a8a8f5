import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { admitRequest, compareForRelease } from './admitRequest.js';
import type { WaitingRequest, WaitingRoomView } from './Types.js';

const limits = { maximumWaiting: 40, queueLimit: 10, partners: ['solano', 'cascade'] };

function request(overrides: Partial<WaitingRequest> = {}): WaitingRequest {
  const defaults = {
    request: 'r',
    partner: 'solano',
    queue: 'q',
    urgency: 'interactive',
    arrivedMs: 0,
    deadlineMs: 1_000,
  };
  return { ...defaults, ...overrides } as WaitingRequest;
}

function view(counts: Readonly<Record<string, number>>, queue: readonly WaitingRequest[] = []): WaitingRoomView {
  const byPartner = new Map(Object.entries(counts));
  const total = [...byPartner.values()].reduce((sum, count) => sum + count, 0);
  return { total, byPartner, queue, newestBatchOfPartner: queue.findLast(({ urgency }) => urgency === 'batch') };
}

vitest.describe('admitRequest', () => {
  vitest.test(
    'refuses requests that would miss their deadline (guards against queueing requests that then fail)',
    () => {
      const decision = admitRequest(request(), view({}), limits, 1_000, 200);
      vitest.expect(decision).toEqual({ kind: 'refused', type: 'deadline_unreachable', retryAfterMs: 800 });
      vitest.expect(admitRequest(request(), view({}), limits, 999, 200).kind).toBe('admitted');
      vitest.expect(admitRequest(request(), view({}), limits, undefined, 1_000).kind).toBe('refused');
    },
  );

  vitest.test(
    'sheds the newest batch request of a full queue for an interactive one (guards against refusing interactive work)',
    () => {
      const queue = Array.from({ length: 10 }, (_, index) =>
        request({ request: `r${index}`, urgency: index % 2 === 0 ? 'batch' : 'interactive', arrivedMs: index }),
      );
      const full = view({ solano: 10 }, queue);
      vitest
        .expect(admitRequest(request(), full, limits, undefined, 0))
        .toEqual({ kind: 'admittedInstead', shed: queue[8] });
      vitest.expect(admitRequest(request({ urgency: 'batch' }), full, limits, undefined, 0).kind).toBe('refused');
      const interactive = queue.map((waiting) => ({ ...waiting, urgency: 'interactive' as const }));
      const decision = admitRequest(request(), view({ solano: 10 }, interactive), limits, undefined, 0);
      vitest.expect(decision).toMatchObject({ kind: 'refused', type: 'queue_full' });
    },
  );

  vitest.test('one partner cannot fill the waiting room (guards against starvation of the other partner)', () => {
    const waiting: Record<string, number> = { solano: 0, cascade: 0 };
    const fill = (partner: string): void => {
      while (admitRequest(request({ partner }), view(waiting), limits, undefined, 0).kind === 'admitted') {
        waiting[partner] = (waiting[partner] ?? 0) + 1;
      }
    };
    fill('solano');
    vitest.expect(waiting).toEqual({ solano: 30, cascade: 0 });
    fill('cascade');
    vitest.expect(waiting).toEqual({ solano: 30, cascade: 10 });
  });

  vitest.test('never admits more requests than the limit (guards against unbounded memory)', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.array(fastCheck.constantFrom('solano', 'cascade'), { maxLength: 200 }),
        (arrivals) => {
          const waiting: Record<string, number> = { solano: 0, cascade: 0 };
          for (const partner of arrivals) {
            if (admitRequest(request({ partner }), view(waiting), limits, undefined, 0).kind === 'admitted') {
              waiting[partner] = (waiting[partner] ?? 0) + 1;
            }
          }
          vitest.expect((waiting.solano ?? 0) + (waiting.cascade ?? 0)).toBeLessThanOrEqual(40);
          const cascade = arrivals.filter((partner) => partner === 'cascade').length;
          vitest.expect(waiting.cascade).toBeGreaterThanOrEqual(Math.min(cascade, 10));
        },
      ),
    );
  });

  vitest.test(
    'releases interactive requests first, then by arrival (guards against batch requests that delay interactive ones)',
    () => {
      const sorted = [
        request({ request: 'a', urgency: 'batch', arrivedMs: 1 }),
        request({ request: 'b', arrivedMs: 3 }),
        request({ request: 'c', arrivedMs: 2 }),
      ].sort(compareForRelease);
      vitest.expect(sorted.map((waiting) => waiting.request)).toEqual(['c', 'b', 'a']);
    },
  );
});
