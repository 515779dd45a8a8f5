import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { PlainService } from '../service/PlainService.js';
import { call } from '../testSupport.js';
import { FaultProxy } from './FaultProxy.js';

vitest.describe('FaultProxy', () => {
  let service: PlainService;
  let proxy: FaultProxy;

  vitest.beforeEach(async () => {
    service = await PlainService.open();
    proxy = await FaultProxy.open({ to: `127.0.0.1:${service.port}` });
  });

  vitest.afterEach(async () => {
    await proxy[Symbol.asyncDispose]();
    await service[Symbol.asyncDispose]();
  });

  function send(body: string): Promise<unknown> {
    return call({ port: proxy.proxyPort }, 'POST', '/x', body);
  }

  async function isPending(promise: Promise<unknown>): Promise<boolean> {
    return (await Promise.race([promise, timers.setTimeout(150, 'pending')])) === 'pending';
  }

  vitest.test('drops only the answers, and delivers them after healing (guards against lost bytes)', async () => {
    await call(proxy, 'POST', '/control', { toClient: { drop: true } });
    const pending = send('a');
    vitest.expect(await isPending(pending)).toBe(true);
    vitest.expect(service.calls).toHaveLength(1);
    await call(proxy, 'POST', '/control', { cut: false });
    vitest.expect(await pending).toMatchObject({ status: 200 });
  });

  vitest.test('drops only the requests (guards against a direction that is mixed up)', async () => {
    await call(proxy, 'POST', '/control', { toTarget: { drop: true } });
    const pending = send('a');
    vitest.expect(await isPending(pending)).toBe(true);
    vitest.expect(service.calls).toHaveLength(0);
    await call(proxy, 'POST', '/control', { toTarget: { drop: false } });
    vitest.expect(await pending).toMatchObject({ status: 200 });
  });

  vitest.test('drops one caller’s connections and no other (guards against a cut that is too wide)', async () => {
    await call(proxy, 'POST', '/control', { dropContaining: ['caller-1'] });
    const pending = send('from caller-1');
    vitest.expect(await isPending(pending)).toBe(true);
    vitest.expect(await send('from caller-2')).toMatchObject({ status: 200 });
    vitest.expect(service.calls).toHaveLength(1);
    await call(proxy, 'POST', '/control', { dropContaining: [] });
    vitest.expect(await pending).toMatchObject({ status: 200 });
  });

  vitest.test('refuses, breaks and delays connections (guards against faults that do nothing)', async () => {
    await call(proxy, 'POST', '/control', { toClient: { drop: true } });
    const broken = send('a');
    vitest.expect(await isPending(broken)).toBe(true);
    await Promise.all([
      vitest.expect(broken).rejects.toThrow(),
      call(proxy, 'POST', '/control', { cut: false, closeConnections: true, refuse: true }),
    ]);
    await vitest.expect(send('b')).rejects.toThrow();
    await call(proxy, 'POST', '/control', { refuse: false, delayMs: 100 });
    const startedMs = performance.now();
    vitest.expect(await send('c')).toMatchObject({ status: 200 });
    vitest.expect(performance.now() - startedMs).toBeGreaterThan(190);
  });
});
