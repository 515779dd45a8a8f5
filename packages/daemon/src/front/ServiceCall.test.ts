import * as net from 'node:net';
import type * as common from '@jayhaven/common';
import * as standins from '@jayhaven/standins';
import * as vitest from 'vitest';
import { FrontFixture, type TestResponse } from './testing/FrontFixture.js';

function errorOf(response: TestResponse): common.ErrorBody['error'] {
  return (JSON.parse(response.text) as common.ErrorBody).error;
}

/** Starts a booking service with one target and configures it. */
async function openBooking(
  fixture: FrontFixture,
  options: standins.PlainServiceOptions = {},
): Promise<standins.PlainService> {
  const service = fixture.register(await standins.PlainService.open({ name: 'booking', ...options }));
  fixture.controlPlane.setVm('app-1', 'live', {
    address: `127.0.0.1:${service.port}`,
    role: 'service',
    service: 'booking',
  });
  fixture.controlPlane.configure('solano/services/booking', {
    idempotentRoutes: ['GET /lists'],
    deadlineMilliseconds: 5_000,
  });
  return service;
}

function pay(
  fixture: FrontFixture,
  key: string | undefined,
  body = 'amount=5',
  deadline = '5000',
): Promise<TestResponse> {
  const headers = { 'x-deadline-ms': deadline, ...(key === undefined ? {} : { 'idempotency-key': key }) };
  return fixture.send({ path: '/services/booking/pay?day=1', body, headers });
}

/** Returns a port on which nothing listens. */
async function closedPort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

vitest.describe('ServiceCall', () => {
  vitest.test('runs a call once per key and replays its response (guards against double payments)', async () => {
    await using fixture = await FrontFixture.open();
    const service = await openBooking(fixture);
    const first = await pay(fixture, 'k1');
    vitest.expect(first.status, first.text).toBe(200);
    const second = await pay(fixture, 'k1');
    vitest.expect(second.status).toBe(200);
    vitest.expect(second.text).toBe(first.text);
    vitest.expect(second.headers['idempotency-replayed']).toBe('true');
    const other = await pay(fixture, 'k1', 'amount=6');
    vitest.expect(other.status).toBe(422);
    vitest.expect(errorOf(other).executed).toBe('no');
    vitest.expect(service.calls.map(({ path }) => path)).toEqual(['/pay']);
  });

  vitest.test('separates the keys of partners (guards against responses of another partner)', async () => {
    await using fixture = await FrontFixture.open();
    const service = await openBooking(fixture);
    fixture.controlPlane.configure('cascade/services/booking', { idempotentRoutes: [], deadlineMilliseconds: 5_000 });
    await pay(fixture, 'k1');
    const headers = { authorization: 'Bearer cascade-key', 'idempotency-key': 'k1' };
    const response = await fixture.send({ path: '/services/booking/pay', body: 'amount=9', headers });
    vitest.expect(response.headers['idempotency-replayed']).toBeUndefined();
    vitest.expect(service.calls).toHaveLength(2);
  });

  vitest.test(
    'requires a valid key for calls that may not be repeated (guards against undetected repeats)',
    async () => {
      await using fixture = await FrontFixture.open();
      const service = await openBooking(fixture);
      vitest.expect((await pay(fixture, undefined)).status).toBe(400);
      vitest.expect((await pay(fixture, 'with space')).status).toBe(400);
      const expired = await pay(fixture, '01890a5d-ac96-774b-bcce-b302099a8057');
      vitest.expect(errorOf(expired)).toMatchObject({ type: 'idempotency_key_expired', executed: 'no' });
      vitest.expect(service.calls).toHaveLength(0);
    },
  );

  vitest.test('refuses paths that imitate an idempotent route (guards against payments without a claim)', async () => {
    await using fixture = await FrontFixture.open();
    const service = await openBooking(fixture);
    for (const path of ['/lists/../pay', '/lists/%2e%2e/pay', '/lists%2f..%2fpay', '/lists//pay', '/listsx']) {
      const response = await fixture.send({ path: `/services/booking${path}` });
      vitest.expect(response.status, path).toBe(400);
    }
    vitest.expect(service.calls).toHaveLength(0);
    vitest.expect((await fixture.send({ path: '/services/booking/lists/3' })).status).toBe(200);
  });

  vitest.test('reports a broken call as unknown permanently (guards against a second execution)', async () => {
    await using fixture = await FrontFixture.open();
    const service = await openBooking(fixture);
    await fixture.setFaults(service, { closeBeforeAnswer: 1 });
    const broken = await pay(fixture, 'k1');
    vitest.expect(broken.status).toBe(502);
    vitest.expect(errorOf(broken)).toMatchObject({ type: 'outcome_unknown', executed: 'unknown' });
    const again = await pay(fixture, 'k1');
    vitest.expect(again.status).toBe(409);
    vitest.expect(errorOf(again)).toMatchObject({ type: 'outcome_unknown', executed: 'unknown' });
    vitest.expect(service.calls).toHaveLength(1);
    vitest.expect(fixture.controlPlane.claims.history).toEqual(['acquire', 'abandon', 'acquire']);
  });

  vitest.test('releases the key when no connection was made (guards against a false "unknown")', async () => {
    await using fixture = await FrontFixture.open();
    await openBooking(fixture);
    fixture.controlPlane.setVm('app-1', 'live', { address: `127.0.0.1:${await closedPort()}` });
    const refused = await pay(fixture, 'k1');
    vitest.expect(refused.status).toBe(503);
    vitest.expect(errorOf(refused)).toMatchObject({ executed: 'no', retryAfterMs: 1_000 });
    vitest.expect(fixture.controlPlane.claims.history).toEqual(['acquire', 'release']);
  });

  vitest.test(
    'uses another target when one refuses connections (guards against one failed request per lost target)',
    async () => {
      await using fixture = await FrontFixture.open();
      const service = await openBooking(fixture);
      const address = `127.0.0.1:${await closedPort()}`;
      fixture.controlPlane.setVm('app-0', 'live', { address, role: 'service', service: 'booking' });
      for (let index = 0; index < 8; index += 1) {
        vitest.expect((await pay(fixture, `k${index}`)).status).toBe(200);
      }
      vitest.expect(service.calls).toHaveLength(8);
    },
  );

  vitest.test(
    'refuses a call without a claim (guards against an unprotected execution during a log outage)',
    async () => {
      await using fixture = await FrontFixture.open();
      const service = await openBooking(fixture);
      fixture.controlPlane.claims.unavailable = true;
      const response = await pay(fixture, 'k1');
      vitest.expect(response.status).toBe(503);
      vitest.expect(response.headers['retry-after']).toBe('2');
      vitest.expect(errorOf(response)).toMatchObject({ type: 'claim_unavailable', executed: 'no' });
      vitest.expect(service.calls).toHaveLength(0);
    },
  );

  vitest.test('records the result of a call that outlives its deadline (guards against a lost result)', async () => {
    await using fixture = await FrontFixture.open();
    const service = await openBooking(fixture, { answerMs: 600 });
    const late = await pay(fixture, 'k1', 'amount=5', '300');
    vitest.expect(late.status).toBe(504);
    vitest.expect(errorOf(late)).toMatchObject({ type: 'deadline_exceeded', executed: 'unknown' });
    const running = await pay(fixture, 'k1');
    vitest.expect(running.status).toBe(409);
    vitest.expect(errorOf(running)).toMatchObject({ type: 'running', retryAfterMs: 1_000 });
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.controlPlane.claims.history).toContain('complete');
    });
    vitest.expect((await pay(fixture, 'k1')).headers['idempotency-replayed']).toBe('true');
    vitest.expect(service.calls).toHaveLength(1);
  });

  vitest.test('retries idempotent routes (guards against failing calls that may be repeated)', async () => {
    await using fixture = await FrontFixture.open();
    const service = await openBooking(fixture);
    const second = fixture.register(await standins.PlainService.open({ name: 'booking' }));
    const address = `127.0.0.1:${second.port}`;
    fixture.controlPlane.setVm('app-2', 'live', { address, role: 'service', service: 'booking' });
    await fixture.setFaults(service, { closeBeforeAnswer: true });
    for (let index = 0; index < 6; index += 1) {
      vitest.expect((await fixture.send({ path: '/services/booking/lists' })).status).toBe(200);
    }
  });

  vitest.test('does not forward the bearer key to services (guards against a leaked credential)', async () => {
    await using fixture = await FrontFixture.open();
    const received: string[] = [];
    const server = net.createServer((socket) => {
      socket.on('data', (data) => {
        received.push(data.toString());
        socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    await openBooking(fixture);
    fixture.controlPlane.setVm('app-1', 'live', { address: `127.0.0.1:${(server.address() as net.AddressInfo).port}` });
    vitest.expect((await pay(fixture, 'k1')).text).toBe('ok');
    vitest.expect(received.join('')).toContain('idempotency-key: k1');
    vitest.expect(received.join('').toLowerCase()).not.toContain('authorization');
    await new Promise((resolve) => server.close(resolve));
  });
});
