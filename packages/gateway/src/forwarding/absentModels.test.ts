import * as vitest from 'vitest';
import { ExchangeFixture } from '../testing/ExchangeFixture.js';

const misdirected = 'HTTP/1.1 421 Misdirected Request\r\nx-attempt: a1\r\nContent-Length: 0\r\n\r\n';
const success = 'HTTP/1.1 200 OK\r\nx-attempt: a1\r\nContent-Length: 0\r\n\r\n';
const headers = { 'x-model': 'm' };

vitest.describe('a replica that does not hold a model in spite of its record', () => {
  vitest.test(
    'gets one request for it until a later record (guards against three sends to it within 1.3 s)',
    async () => {
      await using fixture = new ExchangeFixture({ kind: 'stream', latencyTargetMs: 1_000 });
      let answer = misdirected;
      await fixture.addReplica((socket) => socket.write(answer));
      await fixture.open();
      await fixture.call({ headers }, 1_300);
      vitest.expect(fixture.requestHeads).toHaveLength(1);
      fixture.updateRecord('r0', { inMemory: ['m'] });
      await fixture.call({ headers }, 300);
      vitest.expect(fixture.requestHeads).toHaveLength(1);
      answer = success;
      fixture.updateRecord('r0', { orderSequence: 1 });
      vitest.expect(await fixture.call({ headers })).toMatchObject({ status: 200 });
    },
  );

  vitest.test('still gets requests for its other models (guards against a replica left out as a whole)', async () => {
    await using fixture = new ExchangeFixture({ kind: 'stream', latencyTargetMs: 1_000 });
    await fixture.addReplica((socket, head) => socket.write(head.includes('x-model: m\r\n') ? misdirected : success));
    await fixture.open();
    fixture.updateRecord('r0', { models: ['m', 'n'].map((name) => ({ name, adapters: [] })) });
    await fixture.call({ headers }, 300);
    vitest.expect(await fixture.call({ headers: { 'x-model': 'n' } })).toMatchObject({ status: 200 });
  });
});
