import * as vitest from 'vitest';
import type { ModelSettings } from '../Types.js';
import { GapHistogram } from './GapHistogram.js';
import { HistogramPolicy } from './HistogramPolicy.js';
import type { ModelUsage } from './Types.js';

const settings = { partner: 'solano', model: 'm', version: '1', keepAliveMs: 300_000 } as ModelSettings;
const loadMs = 10_000;

function usageWith(gapsMs: readonly number[]): ModelUsage {
  const gaps = new GapHistogram();
  gapsMs.forEach((gapMs) => {
    gaps.add(gapMs);
  });
  const none = new Map<string, number>();
  return { lastUsedMs: 0, inFlight: 0, peakInFlight: 0, adaptersInFlight: none, adaptersLastUsedMs: none, gaps };
}

function policyWith(coldStart: number): HistogramPolicy {
  return new HistogramPolicy(new Map([['solano', { coldStart }]]));
}

vitest.describe('HistogramPolicy', () => {
  vitest.test('prewarms a regular model before its earliest request (guards against coarse bins)', () => {
    for (let periodMs = 600_000; periodMs < 1_500_000; periodMs *= 1.1) {
      const gaps = Array.from({ length: 20 }, (_, index) => periodMs * (0.98 + 0.002 * index));
      const afterMs = policyWith(0.8).prewarmAfterMs(settings, usageWith(gaps), loadMs);
      vitest.expect(afterMs).toBeLessThan(0.98 * periodMs - loadMs);
      vitest.expect(afterMs).toBeGreaterThan(0.8 * periodMs);
    }
  });

  vitest.test('keeps a model for its short gaps only (guards against idle cost for gaps that it cannot cover)', () => {
    const gaps = Array.from({ length: 40 }, (_, index) => (index % 4 === 0 ? 7_200_000 : 30_000));
    const keepMs = policyWith(0.3).keepAliveMs(settings, usageWith(gaps), loadMs);
    vitest.expect(keepMs).toBeGreaterThanOrEqual(30_000);
    vitest.expect(keepMs).toBeLessThan(40_000);
  });

  vitest.test('never exceeds the setting and grows with the weight (guards against overriding the operator)', () => {
    const usage = usageWith(Array.from({ length: 60 }, (_, index) => 10_000 * (1 + index)));
    const keeps = [0, 0.3, 0.6, 0.8, 1].map((weight) => policyWith(weight).keepAliveMs(settings, usage, loadMs));
    vitest.expect(keeps).toEqual([...keeps].sort((first, second) => first - second));
    vitest.expect(Math.max(...keeps)).toBeLessThanOrEqual(300_000);
    vitest.expect(Math.max(...keeps)).toBeGreaterThan(270_000);
    vitest.expect(keeps[0]).toBeLessThan(300_000);
    const short = { ...settings, keepAliveMs: 5_000 };
    vitest.expect(policyWith(1).keepAliveMs(short, usage, loadMs)).toBe(5_000);
  });
});
