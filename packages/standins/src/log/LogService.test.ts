import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { call } from '../testSupport.js';
import { LogService } from './LogService.js';

vitest.describe('LogService', () => {
  let log: LogService;

  vitest.beforeEach(async () => {
    log = await LogService.open();
  });

  vitest.afterEach(async () => {
    await log[Symbol.asyncDispose]();
  });

  function append(...values: unknown[]): Promise<{ readonly status: number; readonly body: unknown }> {
    return call(log, 'POST', '/topics/control', { records: values.map((value) => ({ value })) });
  }

  async function read(query: string): Promise<{ readonly status: number; readonly body: unknown }> {
    return call(log, 'GET', `/topics/control/partitions/0/records?${query}`);
  }

  vitest.test(
    'answers a long poll on an append and limits the size of a read (guards against late or huge reads)',
    async () => {
      const startedMs = performance.now();
      const pending = read('offset=0&timeout=5000');
      await timers.setTimeout(50);
      vitest.expect(await append('a', 'b')).toMatchObject({ body: { offsets: [{ offset: 0 }, { offset: 1 }] } });
      vitest.expect((await pending).body).toMatchObject([{ offset: 0, value: 'a' }, { offset: 1 }]);
      vitest.expect(performance.now() - startedMs).toBeLessThan(4000);
      vitest.expect((await read('offset=0&max_bytes=1')).body).toMatchObject([{ offset: 0 }]);
      vitest.expect((await read('offset=2&timeout=20')).body).toEqual([]);
    },
  );

  vitest.test(
    'stores an append whose acknowledgement is lost (guards against a fault that loses the append)',
    async () => {
      await call(log, 'POST', '/control', { loseAcknowledgements: 1 });
      await vitest.expect(append('a')).rejects.toThrow();
      vitest.expect((await append('b')).body).toMatchObject({ offsets: [{ offset: 1 }] });
      vitest.expect((await call(log, 'GET', '/control')).body).toMatchObject({ records: 2, lostAcknowledgements: 1 });
    },
  );

  vitest.test('applies stalled appends after the stall (guards against a stall that refuses)', async () => {
    await call(log, 'POST', '/control', { stallAppends: true });
    const pending = append('late');
    await timers.setTimeout(50);
    vitest.expect(log.topic('control').endOffset).toBe(0);
    await call(log, 'POST', '/control', { stallAppends: false });
    vitest.expect((await pending).status).toBe(200);
  });

  vitest.test('refuses or hangs in an outage, also pending reads (guards against a partial outage)', async () => {
    const pending = read('offset=0&timeout=10000');
    await timers.setTimeout(50);
    await call(log, 'POST', '/control', { outage: true });
    vitest.expect((await pending).status).toBe(503);
    vitest.expect((await append('a')).status).toBe(503);
    await call(log, 'POST', '/control', { outage: 'hang' });
    const hanging = await Promise.race([read('offset=0'), timers.setTimeout(100, 'hanging')]);
    vitest.expect(hanging).toBe('hanging');
    vitest.expect(log.topic('control').endOffset).toBe(0);
  });

  vitest.test('drops old records and answers 40402 below the beginning (guards against a silent gap)', async () => {
    await append('old');
    await timers.setTimeout(20);
    await call(log, 'POST', '/control', { retentionMs: 10 });
    await vitest.vi.waitFor(() => {
      vitest.expect(log.topic('control').beginningOffset).toBe(1);
    }, 5000);
    vitest.expect(await read('offset=0')).toMatchObject({ status: 404, body: { error_code: 40402 } });
    vitest.expect((await append('new')).body).toMatchObject({ offsets: [{ offset: 1 }] });
  });
});
