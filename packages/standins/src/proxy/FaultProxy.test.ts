import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { Engine } from '../engine/Engine.js';
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

  vitest.test('drops only the responses, delivers them after the fault ends (guards against lost bytes)', async () => {
    await call(proxy, 'POST', '/control', { toClient: { drop: true } });
    const pending = send('a');
    await vitest.vi.waitFor(() => {
      vitest.expect(service.calls).toHaveLength(1);
    }, 5000);
    vitest.expect(await isPending(pending)).toBe(true);
    await call(proxy, 'POST', '/control', { cut: false });
    vitest.expect(await pending).toMatchObject({ status: 200 });
  });

  vitest.test('drops only the requests (guards against directions that are swapped)', async () => {
    await call(proxy, 'POST', '/control', { toTarget: { drop: true } });
    const pending = send('a');
    vitest.expect(await isPending(pending)).toBe(true);
    vitest.expect(service.calls).toHaveLength(0);
    await call(proxy, 'POST', '/control', { toTarget: { drop: false } });
    vitest.expect(await pending).toMatchObject({ status: 200 });
  });

  vitest.test('drops the connections of one caller only (guards against a fault that affects others)', async () => {
    await call(proxy, 'POST', '/control', { dropContaining: ['caller-1'] });
    const pending = send('from caller-1');
    vitest.expect(await isPending(pending)).toBe(true);
    vitest.expect(await send('from caller-2')).toMatchObject({ status: 200 });
    vitest.expect(service.calls).toHaveLength(1);
    await call(proxy, 'POST', '/control', { dropContaining: [] });
    vitest.expect(await pending).toMatchObject({ status: 200 });
  });

  vitest.test('refuses, resets and delays connections (guards against faults without effect)', async () => {
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

  vitest.test(
    'silences open connections for good, and no new ones (guards against an outage in its place)',
    async () => {
      const open = net.connect(proxy.proxyPort, '127.0.0.1');
      let received = 0;
      open.on('data', (bytes) => (received += bytes.length));
      const request = 'GET /x HTTP/1.1\r\nhost: h\r\n\r\n';
      open.write(request);
      await vitest.vi.waitFor(() => {
        vitest.expect(received).toBeGreaterThan(0);
      }, 5000);
      const before = received;
      await call(proxy, 'POST', '/control', { silenceConnections: true });
      open.write(request);
      vitest.expect(await send('a')).toMatchObject({ status: 200 });
      await call(proxy, 'POST', '/control', { cut: false });
      await timers.setTimeout(150);
      vitest.expect(received).toBe(before);
      vitest.expect(open.destroyed).toBe(false);
      open.destroy();
    },
  );

  vitest.test('delays every chunk of a stream equally (guards against a delay that limits the rate)', async () => {
    const engine = await Engine.open({ tokenMs: 20, firstTokenMs: 0 });
    await call(engine, 'POST', '/v2/repository/models/p%2Fm/load', { parameters: { version: '1' } });
    await using delayed = await FaultProxy.open({ to: `127.0.0.1:${engine.port}` });
    await delayed.setFaults({ toClient: { delayMs: 200 } });
    const startedMs = performance.now();
    const response = await fetch(`http://127.0.0.1:${delayed.proxyPort}/v1/completions`, {
      method: 'POST',
      body: JSON.stringify({ model: 'p/m', prompt: 'hi', stream: true, max_tokens: 30 }),
    });
    vitest.expect(await response.text()).toMatch(/\[DONE\]\n\n$/);
    // 30 tokens take 0.6 s plus one delay; 30 consecutive delays would take 6 s.
    vitest.expect(performance.now() - startedMs).toBeGreaterThan(750);
    vitest.expect(performance.now() - startedMs).toBeLessThan(4000);
    await engine[Symbol.asyncDispose]();
  });
});
