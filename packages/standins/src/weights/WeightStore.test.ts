import * as vitest from 'vitest';
import { call } from '../testSupport.js';
import { WeightStore } from './WeightStore.js';

vitest.describe('WeightStore', () => {
  async function timeOf(store: WeightStore, count: number, query: string): Promise<number> {
    const startedMs = performance.now();
    await Promise.all(Array.from({ length: count }, (_, index) => call(store, 'GET', `/weights/m${index}?${query}`)));
    return performance.now() - startedMs;
  }

  vitest.test('shares its capacity beyond four loads (guards against a store without a limit)', async () => {
    const store = await WeightStore.open({ bytesPerSecond: 1e9, loadsPerSecond: 1000 });
    const alone = await timeOf(store, 4, 'bytes=200e6');
    const shared = await timeOf(store, 8, 'bytes=200e6');
    vitest.expect(alone).toBeGreaterThan(195);
    vitest.expect(shared).toBeGreaterThan(395);
    await call(store, 'POST', '/control', { slowdown: 3 });
    vitest.expect(await timeOf(store, 1, 'bytes=200e6')).toBeGreaterThan(595);
    await store[Symbol.asyncDispose]();
  });

  vitest.test('starts no more loads in a second than its limit (guards against a burst of loads)', async () => {
    const store = await WeightStore.open({ bytesPerSecond: 1e12, loadsPerSecond: 5 });
    // Five may start immediately; the other three follow at intervals of 200 ms.
    vitest.expect(await timeOf(store, 8, 'bytes=1')).toBeGreaterThan(595);
    await store[Symbol.asyncDispose]();
  });

  vitest.test('slows adapters beyond thirty in transit (guards against adapters without a limit)', async () => {
    const store = await WeightStore.open();
    await timeOf(store, 1, 'kind=adapter');
    // 300 adapters of at least 5 ms at 30 at a time.
    vitest.expect(await timeOf(store, 300, 'kind=adapter')).toBeGreaterThan(45);
    await store[Symbol.asyncDispose]();
  });

  vitest.test('cancels a transfer whose client disconnects (guards against capacity that is not freed)', async () => {
    const store = await WeightStore.open({ bytesPerSecond: 1 });
    const url = `http://127.0.0.1:${store.port}/weights/m?bytes=1e9`;
    await vitest.expect(fetch(url, { signal: AbortSignal.timeout(100) })).rejects.toThrow();
    await vitest.vi.waitFor(async () => {
      vitest.expect((await call(store, 'GET', '/control')).body).toMatchObject({ inTransit: 0, cancelled: 1 });
    }, 5000);
    await store[Symbol.asyncDispose]();
  });
});
