import * as vitest from 'vitest';
import { expectedText, FrontFixture, streamText } from './testing/FrontFixture.js';

vitest.describe('Front', () => {
  vitest.test('answers a request for a loaded model (guards against a broken answer or a foreign id)', async () => {
    await using fixture = await FrontFixture.open();
    await fixture.addEngine('vm-1', true);
    const answer = await fixture.chat('stakes', { headers: { 'x-request-id': 'mine' } });
    vitest.expect(answer.status, answer.text).toBe(200);
    const body = JSON.parse(answer.text) as {
      readonly id: string;
      readonly choices: readonly { readonly message: { readonly content: string } }[];
    };
    vitest.expect(body.id).toBe('mine');
    vitest.expect(answer.headers['x-request-id']).toBe('mine');
    vitest.expect(body.choices[0]?.message.content).toBe(expectedText('stakes'));
  });

  vitest.test('streams the answer of a loaded model (guards against lost tokens)', async () => {
    await using fixture = await FrontFixture.open();
    await fixture.addEngine('vm-1', true);
    const answer = await fixture.chat('stakes', { stream: true, tokens: 40 });
    vitest.expect(answer.status).toBe(200);
    vitest.expect(streamText(answer.text)).toBe(expectedText('stakes', 40));
    vitest.expect(answer.text.endsWith('data: [DONE]\n\n')).toBe(true);
  });

  vitest.test('holds requests for a cold model and sends one wake (guards against a wake per request)', async () => {
    await using fixture = await FrontFixture.open();
    const engine = await fixture.addEngine('vm-1', false);
    const answers = Array.from({ length: 20 }, (_, index) => fixture.chat(`prompt ${index}`));
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.front.status().waiting[0]?.count).toBe(20);
    });
    vitest.expect(fixture.wakes).toHaveLength(1);
    await fixture.load(engine);
    fixture.plane.setReplica({ replica: 1, vm: 'vm-1' });
    for (const [index, answer] of (await Promise.all(answers)).entries()) {
      vitest.expect(answer.text).toContain(expectedText(`prompt ${index}`));
    }
    vitest.expect(fixture.front.status().inFlight).toBe(0);
  });
});
