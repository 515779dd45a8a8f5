import * as fc from 'fast-check';
import * as vitest from 'vitest';
import type { ModelSettings } from '../Types.js';
import { FixedKeepAlivePolicy } from './FixedKeepAlivePolicy.js';
import { GapHistogram } from './GapHistogram.js';
import { HistogramPolicy } from './HistogramPolicy.js';
import { LeastRecentlyUsedPolicy } from './LeastRecentlyUsedPolicy.js';
import { NeverUnloadPolicy } from './NeverUnloadPolicy.js';
import type { ModelUsage } from './Types.js';
import { UsageRecorder } from './UsageRecorder.js';

const minuteMs = 60_000;

function settingsOf(partner: string, keepAliveMs: number): ModelSettings {
  const settings = { partner, model: 'm', version: '1', keepAliveMs, coldStartWeight: 0.5, expectedLoadMs: 5_000 };
  return settings as unknown as ModelSettings;
}

function usageOf(gapsMs: readonly number[], lastUsedMs = 0): ModelUsage {
  const gaps = new GapHistogram();
  for (const gapMs of gapsMs) {
    gaps.add(gapMs);
  }
  const adapters = { adaptersInFlight: new Map(), adaptersLastUsedMs: new Map() };
  return { lastUsedMs, inFlight: 0, peakInFlight: 0, gaps, ...adapters };
}

vitest.describe('keep-alive policies', () => {
  vitest.test("the histogram never exceeds the operators' setting (guards against overriding an edit)", () => {
    const policy = new HistogramPolicy(new Map([['solano', { coldStart: 1 }]]));
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 1e8 })), fc.integer({ min: 0, max: 1e7 }), (gaps, keepAliveMs) => {
        const kept = policy.keepAliveMs(settingsOf('solano', keepAliveMs), usageOf(gaps));
        vitest.expect(kept).toBeLessThanOrEqual(keepAliveMs);
        vitest.expect(kept).toBeGreaterThanOrEqual(Math.min(keepAliveMs, 250));
      }),
    );
  });

  vitest.test('a higher cold-start weight keeps models longer (guards against ignoring the weights)', () => {
    const weights = new Map([
      ['solano', { coldStart: 0.8 }],
      ['cascade', { coldStart: 0.3 }],
    ]);
    const policy = new HistogramPolicy(weights);
    const gaps = Array.from({ length: 100 }, (_unused, index) => (index < 90 ? 10_000 : 100_000));
    const usage = usageOf(gaps);
    const solanoMs = policy.keepAliveMs(settingsOf('solano', 10 * minuteMs), usage);
    const cascadeMs = policy.keepAliveMs(settingsOf('cascade', 10 * minuteMs), usage);
    vitest.expect(solanoMs).toBeGreaterThan(90_000);
    vitest.expect(cascadeMs).toBeLessThan(15_000);
  });

  vitest.test('a regular model is loaded ahead of its next request (guards against avoidable cold starts)', () => {
    const policy = new HistogramPolicy();
    const settings = settingsOf('solano', minuteMs);
    const regular = usageOf(Array.from({ length: 20 }, () => 30 * minuteMs));
    const atMs = policy.prewarmAfterMs(settings, regular, 10_000) ?? 0;
    vitest.expect(atMs).toBeGreaterThan(20 * minuteMs);
    vitest.expect(atMs).toBeLessThan(38 * minuteMs);
    const irregular = usageOf(Array.from({ length: 20 }, (_unused, index) => (index + 2) * 10 * minuteMs));
    vitest.expect(policy.prewarmAfterMs(settings, irregular, 10_000)).toBeUndefined();
    vitest.expect(policy.prewarmAfterMs(settings, usageOf([minuteMs]), 10_000)).toBeUndefined();
  });

  vitest.test('the use probability is within 0 and 1 and falls with idle time (guards against wrong evictions)', () => {
    const settings = settingsOf('solano', minuteMs);
    fc.assert(
      fc.property(fc.integer({ min: 0, max: 1e7 }), fc.integer({ min: 0, max: 1e7 }), (first, second) => {
        const [early, late] = first < second ? [first, second] : [second, first];
        for (const policy of [new HistogramPolicy(), new LeastRecentlyUsedPolicy(), new FixedKeepAlivePolicy()]) {
          const earlyProbability = policy.useProbability(settings, usageOf([]), minuteMs, early);
          const lateProbability = policy.useProbability(settings, usageOf([]), minuteMs, late);
          vitest.expect(earlyProbability).toBeLessThanOrEqual(1);
          vitest.expect(lateProbability).toBeGreaterThanOrEqual(0);
          vitest.expect(lateProbability).toBeLessThanOrEqual(earlyProbability);
        }
      }),
    );
    vitest.expect(new NeverUnloadPolicy().keepAliveMs()).toBe(Infinity);
  });
});

vitest.describe('UsageRecorder', () => {
  const model = { partner: 'solano', model: 'm', version: '1' };

  vitest.test('sums over daemons and expires old reports (guards against a dead daemon holding a model)', () => {
    const recorder = new UsageRecorder(0);
    recorder.record('d1', [{ ...model, arrivals: 1, inFlight: 3 }], 1_000);
    recorder.record('d2', [{ ...model, arrivals: 0, inFlight: 2 }], 2_000);
    vitest.expect(recorder.usageOf(model, 2_500)).toMatchObject({ inFlight: 5, lastUsedMs: 2_500 });
    vitest.expect(recorder.usageOf(model, 6_500)).toMatchObject({ inFlight: 2 });
    vitest.expect(recorder.usageOf(model, 60_000)).toMatchObject({ inFlight: 0, lastUsedMs: 2_000, peakInFlight: 5 });
    vitest.expect(recorder.usageOf(model, 300_000).peakInFlight).toBe(0);
  });

  vitest.test('counts gaps between bursts but not within them (guards against unloading after each burst)', () => {
    const recorder = new UsageRecorder(0);
    for (const atMs of [0, 100, 200, 60_000, 60_100]) {
      recorder.record('d1', [{ ...model, arrivals: 5, inFlight: 0 }], atMs);
    }
    const { gaps } = recorder.usageOf(model, 61_000);
    vitest.expect(gaps.samples).toBe(1);
    vitest.expect(gaps.percentileMs(0.5)).toBeGreaterThanOrEqual(59_000);
  });
});
