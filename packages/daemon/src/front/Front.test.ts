import * as vitest from 'vitest';
import { expectedText, FrontFixture, streamText } from './testing/FrontFixture.js';

vitest.describe('Front', () => {
  vitest.test(
    'answers a request for a loaded model (guards against a broken response or a wrong request id)',
    async () => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-1', true);
      const response = await fixture.chat('stakes', { headers: { 'x-request-id': 'mine' } });
      vitest.expect(response.status, response.text).toBe(200);
      const body = JSON.parse(response.text) as {
        readonly id: string;
        readonly choices: readonly { readonly message: { readonly content: string } }[];
      };
      vitest.expect(body.id).toBe('mine');
      vitest.expect(response.headers['x-request-id']).toBe('mine');
      vitest.expect(body.choices[0]?.message.content).toBe(expectedText('stakes'));
    },
  );

  vitest.test('streams the response of a loaded model (guards against lost tokens)', async () => {
    await using fixture = await FrontFixture.open();
    await fixture.addEngine('vm-1', true);
    const response = await fixture.chat('stakes', { stream: true, tokens: 40 });
    vitest.expect(response.status).toBe(200);
    vitest.expect(streamText(response.text)).toBe(expectedText('stakes', 40));
    vitest.expect(response.text.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  vitest.test(
    'queues requests for a model that is not loaded and sends one wake (guards against a wake per request)',
    async () => {
      await using fixture = await FrontFixture.open();
      const engine = await fixture.addEngine('vm-1', false);
      const responses = Array.from({ length: 20 }, (_, index) => fixture.chat(`prompt ${index}`));
      await vitest.vi.waitFor(() => {
        vitest.expect(fixture.front.status().waiting[0]?.count).toBe(20);
      });
      vitest.expect(fixture.wakes).toHaveLength(1);
      await fixture.loadModel(engine);
      fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1' });
      for (const [index, response] of (await Promise.all(responses)).entries()) {
        vitest.expect(response.text).toContain(expectedText(`prompt ${index}`));
      }
      vitest.expect(fixture.front.status().inFlight).toBe(0);
    },
  );

  vitest.test('reports usage, metrics and the steps of a request (guards against missing telemetry)', async () => {
    await using fixture = await FrontFixture.open();
    await fixture.addEngine('vm-1', true);
    await fixture.chat('p', { headers: { 'x-request-id': 'r1' } });
    const metrics = await fixture.send({ path: '/metrics' });
    vitest.expect(metrics.text).toContain('jayhaven_requests_total{partner="solano",kind="completion",outcome="ok"} 1');
    const steps = fixture.events.filter(({ request }) => request === 'r1');
    vitest.expect(steps.map(({ event }) => event)).toEqual(['accepted', 'dispatched', 'finished']);
    vitest.expect(steps[2]?.detail).toMatchObject({ outcome: 'ok' });
    await vitest.vi.waitFor(
      () => {
        vitest.expect(fixture.usage.map(({ arrivals, inFlight }) => [arrivals, inFlight])).toEqual([
          [1, 0],
          [0, 0],
        ]);
      },
      { timeout: 4_000 },
    );
  });

  vitest.test('serves adapters by name (guards against responses of the base model)', async () => {
    await using fixture = await FrontFixture.open();
    const engine = await fixture.addEngine('vm-1', true);
    fixture.controlPlane.configure('solano/adapters/walk/tents', { bytes: 5 });
    const order = { lora_name: 'solano/walk:tents', bytes: [5], fencing_token: 1 };
    const loaded = await fetch(`http://127.0.0.1:${engine.port}/v1/load_lora_adapter`, {
      method: 'POST',
      body: JSON.stringify(order),
    });
    vitest.expect(loaded.status).toBe(200);
    const adapter = { adapter: 'tents', order: 9, bytes: [5], state: 'ready' } as const;
    fixture.controlPlane.setReplica({ replica: 1, vm: 'vm-1', adapters: new Map([['tents', adapter]]) });
    for (const model of ['walk:tents', 'solano/walk:tents']) {
      const response = await fixture.send({ path: '/v1/completions', body: { model, prompt: 'p' } });
      vitest.expect(response.status, response.text).toBe(200);
    }
    vitest.expect(engine.records.requests.at(-1)?.model).toBe('solano/walk:tents');
  });
});
