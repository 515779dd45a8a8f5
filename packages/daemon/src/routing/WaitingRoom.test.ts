import * as vitest from 'vitest';
import { FrontFixture } from '../front/testing/FrontFixture.js';

async function untilWaiting(fixture: FrontFixture, count: number): Promise<void> {
  await vitest.vi.waitFor(() => {
    const waiting = fixture.front.status().waiting.reduce((sum, queue) => sum + queue.count, 0);
    vitest.expect(waiting).toBe(count);
  });
}

vitest.describe('WaitingRoom', () => {
  vitest.test('repeats the wake each second, one at a time (guards against a lost wake and a flood)', async () => {
    await using fixture = await FrontFixture.open();
    let outstanding = 0;
    let maximumOutstanding = 0;
    fixture.respondToWake = async () => {
      outstanding += 1;
      maximumOutstanding = Math.max(maximumOutstanding, outstanding);
      await new Promise((resolve) => setTimeout(resolve, 20));
      outstanding -= 1;
      // With a later time, a wake shortly before the deadlines would refuse the requests with status 503.
      return { ok: true, value: { kind: 'expected', readyInMs: 0 } };
    };
    const headers = { 'x-deadline-ms': '2500' };
    const responses = Array.from({ length: 30 }, (_, index) => fixture.chat(`p${index}`, { headers }));
    const statuses = (await Promise.all(responses)).map(({ status }) => status);
    vitest.expect(new Set(statuses)).toEqual(new Set([504]));
    vitest.expect(maximumOutstanding).toBe(1);
    vitest.expect(fixture.wakes.length).toBeGreaterThanOrEqual(3);
    vitest.expect(fixture.wakes.length).toBeLessThanOrEqual(4);
    await untilWaiting(fixture, 0);
  });

  vitest.test(
    'sheds a waiting batch request for an interactive one (guards against refusing the wrong one)',
    async () => {
      await using fixture = await FrontFixture.open();
      fixture.controlPlane.configure('solano/exceptions/walk/queueLimit', 2);
      fixture.respondToWake = () => Promise.resolve({ ok: true, value: { kind: 'expected', readyInMs: 0 } });
      const batch = { 'x-priority': 'batch', 'x-deadline-ms': '1500' };
      const first = fixture.chat('a', { headers: batch });
      await untilWaiting(fixture, 1);
      const second = fixture.chat('b', { headers: batch });
      await untilWaiting(fixture, 2);
      const third = await fixture.chat('c', { headers: batch });
      vitest.expect(third.text).toContain('"type":"queue_full"');
      const interactive = fixture.chat('d', { headers: { 'x-deadline-ms': '1200' } });
      const shed = await second;
      vitest.expect(shed.status).toBe(503);
      vitest.expect(shed.text).toContain('"type":"shed"');
      vitest.expect(shed.headers['retry-after']).toBeDefined();
      vitest.expect((await interactive).text).toContain('deadline_exceeded');
      vitest.expect((await first).text).toContain('deadline_exceeded');
      const urgencies = fixture.wakes.map(({ urgency }) => urgency);
      vitest.expect(urgencies.slice(0, 2)).toEqual(['batch', 'interactive']);
    },
  );

  vitest.test(
    'refuses only the requests that a refusal covers (guards against refusing longer deadlines)',
    async () => {
      await using fixture = await FrontFixture.open();
      const engine = await fixture.addEngine('vm-1', false);
      const limits: number[] = [];
      fixture.respondToWake = async () => {
        const remainingMs = fixture.wakes.at(-1)?.remainingMs ?? 0;
        limits.push(remainingMs);
        await new Promise((resolve) => setTimeout(resolve, 200));
        return remainingMs < 5_000
          ? { ok: true, value: { kind: 'refused', type: 'no_time', message: 'too late', retryAfterMs: 3_000 } }
          : { ok: true, value: { kind: 'expected', readyInMs: 500 } };
      };
      const shortDeadline = fixture.chat('a', { headers: { 'x-deadline-ms': '4000' } });
      await untilWaiting(fixture, 1);
      const longDeadline = fixture.chat('b', { headers: { 'x-deadline-ms': '20000' } });
      vitest.expect((await shortDeadline).text).toContain('"type":"no_time"');
      await untilWaiting(fixture, 1);
      await fixture.loadModel(engine);
      fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1' });
      vitest.expect((await longDeadline).status).toBe(200);
      vitest.expect(limits.length).toBe(2);
    },
  );

  vitest.test('balances released requests over the ready replicas (guards against overloading one)', async () => {
    await using fixture = await FrontFixture.open();
    const responses = Array.from({ length: 40 }, (_, index) => fixture.chat(`p${index}`));
    await untilWaiting(fixture, 40);
    const first = await fixture.addEngine('vm-1', false);
    const second = await fixture.addEngine('vm-2', false);
    await Promise.all([fixture.loadModel(first), fixture.loadModel(second)]);
    const replicas = new Map(fixture.controlPlane.log.state.replicas);
    for (const [replica, vm, engine] of [[1, 'vm-1', first] as const, [2, 'vm-2', second] as const]) {
      const target = `127.0.0.1:${engine.port}`;
      const version = { partner: 'solano', model: 'walk', version: '1' };
      const defaults = { bytes: [1], state: 'ready', urgency: 'interactive', adapters: new Map() } as const;
      replicas.set(replica, { replica, target, vm, ...version, ...defaults });
    }
    fixture.controlPlane.change({ replicas });
    vitest.expect(new Set((await Promise.all(responses)).map(({ status }) => status))).toEqual(new Set([200]));
    vitest.expect(first.records.requests.length).toBeGreaterThan(10);
    vitest.expect(second.records.requests.length).toBeGreaterThan(10);
  });

  vitest.test('waits for the configured version and adapter (guards against responses of other weights)', async () => {
    await using fixture = await FrontFixture.open();
    await fixture.addEngine('vm-1', true);
    fixture.controlPlane.configure('solano/adapters/walk/tents', { bytes: 5 });
    const body = { model: 'walk:tents', prompt: 'p' };
    const headers = { 'x-deadline-ms': '300' };
    const adapter = await fixture.send({ path: '/v1/completions', body, headers });
    vitest.expect(adapter.status).toBe(504);
    vitest.expect(fixture.wakes[0]).toMatchObject({ model: 'walk', version: '1', adapter: 'tents' });
    const settings = { version: '2', weightBytes: [1e9], cacheBytes: 0, expectedLoadMilliseconds: 1_000 };
    fixture.controlPlane.configure('solano/models/walk', settings);
    vitest.expect((await fixture.chat('p', { headers })).status).toBe(504);
    vitest.expect(fixture.wakes.at(-1)).toMatchObject({ version: '2' });
  });

  vitest.test('refuses when there is no owner (guards against holding a request until its deadline)', async () => {
    await using fixture = await FrontFixture.open({}, undefined, 500);
    fixture.respondToWake = () =>
      Promise.resolve({
        ok: false,
        failure: { kind: 'noOwner', message: 'no daemon owns the cell', retryAfterMs: 200 },
      });
    const startedMs = performance.now();
    const response = await fixture.chat('a', { headers: { 'x-deadline-ms': '20000' } });
    vitest.expect(response.status).toBe(503);
    vitest.expect(response.text).toContain('"type":"no_owner"');
    vitest.expect(response.text).toContain('"executed":"no"');
    vitest.expect(response.headers['retry-after']).toBeDefined();
    // Two leases and one more wake.
    vitest.expect(performance.now() - startedMs).toBeLessThan(3_500);
  });
});
