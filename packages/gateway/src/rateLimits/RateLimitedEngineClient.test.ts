import * as vitest from 'vitest';
import { FakeEngine, FakeEngineClient } from '../testing/FakeEngines.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import { RateLimitedEngineClient } from './RateLimitedEngineClient.js';

const replica = sampleReplica();
const order = { kind: 'load', model: 'm', expectedSequence: 0, holder: 'vm', fencingToken: 1 } as const;

function createClient(
  perSecond: number | undefined,
  hasPermit: boolean,
): { client: RateLimitedEngineClient; engine: FakeEngine } {
  const engines = new FakeEngineClient();
  const engine = new FakeEngine();
  engines.engines.set(replica.id, engine);
  const permits = { perSecond: () => perSecond, acquire: () => Promise.resolve(hasPermit) };
  const clock = { now: () => ({ steadyMs: Date.now(), wallMs: Date.now() }) };
  return { client: new RateLimitedEngineClient(engines, permits, clock), engine };
}

vitest.describe('orders and reports of a replica with a rate limit', () => {
  vitest.beforeEach(() => {
    vitest.vi.useFakeTimers();
  });
  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
  });

  vitest.test('are not sent without a permit (guards against orders beyond the limit)', async () => {
    const { client, engine } = createClient(1.6, false);
    const outcome = await client.sendOrder(replica, order, () => true);
    vitest.expect(outcome).toMatchObject({ ok: false, failure: { mayHaveArrived: false } });
    vitest.expect((await client.readReport(replica)).ok).toBe(false);
    vitest.expect(engine.orders).toEqual([]);
    vitest.expect(engine.reportReads).toBe(0);
  });

  vitest.test(
    'use at most a quarter of the permits for reports (guards against polls that starve callers)',
    async () => {
      const { client, engine } = createClient(4, true);
      for (let index = 0; index < 100; index += 1) {
        void client.readReport(replica);
      }
      await vitest.vi.advanceTimersByTimeAsync(10_000);
      vitest.expect(engine.reportReads).toBeLessThanOrEqual(10);
      vitest.expect(engine.reportReads).toBeGreaterThan(6);
    },
  );

  vitest.test('are sent at once to a replica without a limit', async () => {
    const { client, engine } = createClient(undefined, true);
    await client.readReport(replica);
    await client.readReport(replica);
    vitest.expect(engine.reportReads).toBe(2);
  });
});
