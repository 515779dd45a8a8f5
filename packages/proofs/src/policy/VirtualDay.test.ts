import type * as decisions from '@jayhaven/decisions';
import * as vitest from 'vitest';
import { buildWorkload } from './buildWorkload.js';
import { cascade, solano } from './partners.js';
import type { PartnerSpecification, PolicyMeasures } from './Types.js';
import { policyOf, variants, type VariantFamily } from './variants.js';
import { VirtualDay } from './VirtualDay.js';
import { VirtualEngines } from './VirtualEngines.js';

const hoursMs = 3 * 3_600_000;

/** Replays only the three busiest hours, to keep the test fast. */
function replayMorning(specification: PartnerSpecification, family: VariantFamily): PolicyMeasures {
  const variant = variants.find((candidate) => candidate.family === family);
  vitest.assert(variant !== undefined);
  const workload = buildWorkload(specification, 11);
  const startMs = 8 * 3_600_000;
  const arrivals = workload.arrivals
    .filter(({ atMs }) => atMs >= startMs && atMs < startMs + hoursMs)
    .map((arrival) => ({ ...arrival, atMs: arrival.atMs - startMs }));
  const policy = policyOf(variant, specification);
  return VirtualDay.run({ ...workload, arrivals }, policy, 300, hoursMs);
}

vitest.describe('VirtualDay', () => {
  vitest.test('returns the same result for the same seed (guards against hidden state and real time)', () => {
    const first = replayMorning(cascade, 'histogram');
    vitest.expect(replayMorning(cascade, 'histogram')).toEqual(first);
    vitest.expect(first.requests).toBeGreaterThan(500);
    vitest.expect(buildWorkload(cascade, 12).arrivals).not.toEqual(buildWorkload(cascade, 11).arrivals);
  });

  vitest.test.each(['never', 'fixed', 'leastRecentlyUsed', 'histogram'] as const)(
    'never exceeds accelerator memory with policy %s (guards against a policy that overcommits memory)',
    (family) => {
      const measures = replayMorning(solano, family);
      vitest.expect(measures.highestMemoryShare).toBeGreaterThan(0.5);
      vitest.expect(measures.highestMemoryShare).toBeLessThanOrEqual(1);
      vitest.expect(measures.loads).toBeGreaterThan(10);
    },
  );

  vitest.test('counts memory independently of replay (guards against a memory check that cannot fail)', () => {
    const workload = buildWorkload(cascade, 11);
    const engines = new VirtualEngines(workload);
    const target = workload.engines[0]?.address ?? '';
    const names = { partner: 'cascade', version: '1', target, vm: 'vm-1', state: 'loading', urgency: 'batch' } as const;
    const entry = { ...names, bytes: [50e9], adapters: new Map<string, decisions.AdapterEntry>() };
    engines.load({ ...entry, replica: 1, model: 'first' }, 50e9, 0);
    vitest.expect(engines.highestMemoryShare).toBeLessThanOrEqual(1);
    engines.load({ ...entry, replica: 2, model: 'second' }, 50e9, 0);
    vitest.expect(engines.highestMemoryShare).toBeGreaterThan(1);
  });
});
