import * as vitest from 'vitest';
import { call } from '../testSupport.js';
import { VmList } from './VmList.js';

const entry = {
  targets: ['127.0.0.1:1'],
  labels: { vm: 'v1', failure_domain: 'a', state: 'live', role: 'service', service: 'booking' },
};

vitest.test('VmList shows a change only after its lag (guards against tests that never see a stale list)', async () => {
  const list = await VmList.open({ lagMs: 300 });
  await call(list, 'PUT', '/control', [entry]);
  vitest.expect((await call(list, 'GET', '/vms')).body).toEqual([]);
  await vitest.vi.waitFor(async () => {
    vitest.expect((await call(list, 'GET', '/vms')).body).toEqual([entry]);
  }, 5000);
  await call(list, 'POST', '/control', { lagMs: 0 });
  await call(list, 'POST', '/control/vms/v1', { state: 'leaving' });
  vitest.expect((await call(list, 'GET', '/vms')).body).toMatchObject([{ labels: { state: 'leaving' } }]);
  await call(list, 'POST', '/control/vms/v1', { state: 'gone' });
  vitest.expect((await call(list, 'GET', '/vms')).body).toEqual([]);
  await call(list, 'POST', '/control', { outage: true });
  vitest.expect((await call(list, 'GET', '/vms')).status).toBe(503);
  await list[Symbol.asyncDispose]();
});
