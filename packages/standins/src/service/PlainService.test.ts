import * as vitest from 'vitest';
import { call } from '../testSupport.js';
import { PlainService } from './PlainService.js';

vitest.describe('PlainService', () => {
  vitest.test('counts an executed call whose response was lost (guards against undetected repeats)', async () => {
    const service = await PlainService.open({ name: 'booking' });
    const key = { 'idempotency-key': 'k1' };
    await call(service, 'POST', '/control', { closeBeforeAnswer: 1 });
    await vitest.expect(call(service, 'POST', '/pay', 'ten', key)).rejects.toThrow();
    vitest.expect((await call(service, 'POST', '/pay', 'ten', key)).body).toMatchObject({ count: 2 });
    vitest.expect((await call(service, 'GET', '/control/records')).body).toMatchObject({
      counts: { k1: 2 },
      calls: [
        { status: 0, body: 'ten', key: 'k1' },
        { status: 200, path: '/pay' },
      ],
    });
    await call(service, 'POST', '/control', { fail: 1 });
    vitest.expect((await call(service, 'POST', '/pay')).status).toBe(500);
    await service[Symbol.asyncDispose]();
  });

  vitest.test('reports load without recording it as a call (guards against records of calls not made)', async () => {
    const service = await PlainService.open({ slots: 4, answerMs: 1500 });
    vitest.expect((await call(service, 'GET', '/v2/load')).body).toMatchObject({ running: 0, slots: 4 });
    const running = call(service, 'POST', '/pay');
    await vitest.vi.waitFor(async () => {
      vitest.expect((await call(service, 'GET', '/v2/load')).body).toMatchObject({ running: 1 });
    }, 1400);
    await running;
    vitest.expect((await call(service, 'GET', '/v2/load')).body).toMatchObject({ running: 0 });
    vitest.expect(service.calls).toHaveLength(1);
    await service[Symbol.asyncDispose]();
  });

  vitest.test('closes a keep-alive connection after a response (guards against a fault without effect)', async () => {
    const service = await PlainService.open();
    await call(service, 'POST', '/control', { closeKeepAlive: true });
    const response = await fetch(`http://127.0.0.1:${service.port}/list`);
    vitest.expect(response.headers.get('connection')).toBe('keep-alive');
    await response.text();
    await vitest.vi.waitFor(() => {
      vitest.expect(service.openConnections).toBe(0);
    }, 5000);
    await service[Symbol.asyncDispose]();
  });
});
