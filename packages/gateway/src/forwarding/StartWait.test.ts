import * as vitest from 'vitest';
import { ExchangeFixture } from '../testing/ExchangeFixture.js';
import { signedAnswer } from '../testing/replicaScripts.js';
import { startWaitMs } from './StartWait.js';

vitest.describe('requests that arrive before the tables are read', () => {
  vitest.test('are served once they are (guards against refusals by all daemons after a loss of power)', async () => {
    await using fixture = new ExchangeFixture();
    fixture.holdsStartWait = true;
    await fixture.addReplica((socket) => socket.write(signedAnswer));
    await fixture.open();
    const call = fixture.call();
    await new Promise((resolve) => setTimeout(resolve, 100));
    vitest.expect(fixture.requestHeads).toEqual([]);
    fixture.startWait.setReady();
    vitest.expect((await call).status).toBe(200);
  });

  vitest.test('are not sent after their caller has left (guards against work for nobody)', async () => {
    await using fixture = new ExchangeFixture();
    fixture.holdsStartWait = true;
    await fixture.addReplica((socket) => socket.write(signedAnswer));
    await fixture.open();
    await fixture.call({}, 100);
    await new Promise((resolve) => setTimeout(resolve, 100));
    fixture.startWait.setReady();
    await new Promise((resolve) => setTimeout(resolve, 100));
    vitest.expect(fixture.requestHeads).toEqual([]);
  });

  vitest.test('wait for a part of their deadline (guards against callers that leave before they are refused)', () => {
    vitest.expect(startWaitMs(900)).toBe(300);
    vitest.expect(startWaitMs(25_000)).toBe(1_500);
    vitest.expect(startWaitMs(undefined)).toBe(0);
  });
});
