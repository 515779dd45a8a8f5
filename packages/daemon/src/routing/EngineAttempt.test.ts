import * as vitest from 'vitest';
import { expectedText, FrontFixture } from '../front/testing/FrontFixture.js';

vitest.describe('EngineAttempt', () => {
  vitest.test('leaves a silent target that is unreachable (guards against waiting for a reclaimed VM)', async () => {
    await using fixture = await FrontFixture.open();
    const silent = await fixture.addEngine('vm-1', true);
    await fixture.control(silent, { silent: true });
    const target = `127.0.0.1:${silent.port}`;
    const answer = fixture.chat('p', { headers: { 'x-deadline-ms': '20000' } });
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.events.some(({ event }) => event === 'dispatched')).toBe(true);
    });
    await fixture.addEngine('vm-2', true);
    const load = { sequence: 1, running: 0, waiting: 0, slots: 8 };
    fixture.digests.set(target, { target, ...load, reachable: false });
    const startMs = performance.now();
    vitest.expect((await answer).text).toContain(expectedText('p'));
    vitest.expect(performance.now() - startMs).toBeLessThan(4_000);
  });

  vitest.test(
    'uses a new connection after the engine closed the kept one (guards against false failures)',
    async () => {
      await using fixture = await FrontFixture.open({ retryBudget: 0 });
      await fixture.addEngine('vm-1', true);
      for (let round = 0; round < 3; round += 1) {
        const answers = await Promise.all(Array.from({ length: 5 }, (_, index) => fixture.chat(`p${index}`)));
        vitest.expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200, 200]);
      }
      vitest.expect(fixture.events.filter(({ event }) => event === 'attemptFailed')).toEqual([]);
    },
  );
});
