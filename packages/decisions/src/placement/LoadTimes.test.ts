import * as vitest from 'vitest';
import type { ModelSettings } from '../Types.js';
import { LoadTimes } from './LoadTimes.js';

vitest.test(
  'estimates a load without a cached checkpoint from first loads (guards against estimates based on cached loads)',
  () => {
    const settings = { partner: 'solano', model: 'm', version: '1', expectedLoadMs: 15_000 } as ModelSettings;
    const times = new LoadTimes();
    vitest.expect(times.expectedMs(settings, 'first')).toBe(15_000);
    times.record(settings, 'first', 30_000);
    for (let load = 0; load < 10; load += 1) {
      times.record(settings, 'first', 3_000);
    }
    vitest.expect(times.expectedMs(settings, 'first')).toBeLessThan(3_100);
    vitest.expect(times.expectedMs(settings, 'second')).toBe(30_000);
    vitest.expect(times.expectedMs(settings)).toBeLessThan(3_100);
  },
);
