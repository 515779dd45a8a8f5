import * as vitest from 'vitest';
import { type RedispatchResult, type WaitingRequest, WaitingRequests } from './WaitingRequests.js';

function waitingRequest(tenantName: string, redispatch: () => RedispatchResult): WaitingRequest {
  const times = { lateAtMs: 1_000, leavesAtMs: 2_000, sizeBytes: 0, requiredVersion: undefined };
  return {
    ...times,
    modelReference: { model: 'm' },
    urgency: 1,
    tenantName,
    limitedReplicaId: () => 'r',
    heldFor: () => undefined,
    redispatch,
  };
}

vitest.describe('waiting requests of tenants', () => {
  vitest.test('count the turns before a permit (guards against refusals due to the requests of another tenant)', () => {
    const requests = new WaitingRequests();
    Array.from({ length: 40 }, () => {
      requests.add(waitingRequest('a', () => 'waits'));
    });
    vitest.expect(requests.countAhead('r', { urgency: 1, lateAtMs: 3_000, tenantName: 'b' })).toBe(1);
    vitest.expect(requests.countAhead('r', { urgency: 1, lateAtMs: 3_000, tenantName: 'a' })).toBe(40);
  });

  vitest.test('use no turn when they are refused (guards against a tenant that is never served after a surge)', () => {
    const requests = new WaitingRequests();
    const sent: string[] = [];
    Array.from({ length: 40 }, () => {
      requests.add(waitingRequest('a', () => 'ended'));
    });
    requests.redispatchAll(0);
    vitest.expect(requests.size).toBe(0);
    for (const tenantName of ['a', 'b', 'b']) {
      const send = (): RedispatchResult => (sent.push(tenantName) > 0 ? 'sent' : 'waits');
      requests.add(waitingRequest(tenantName, send));
    }
    requests.redispatchAll(0);
    vitest.expect(sent).toEqual(['a', 'b', 'b']);
  });

  vitest.test('that are held are sent in turn (guards against new requests that pass those which wait)', () => {
    const requests = new WaitingRequests();
    const sent: string[] = [];
    for (const tenantName of ['a', 'a', 'b']) {
      const send = (): RedispatchResult => {
        // There is room for two requests, and none passes the others.
        const mayBeSent = sent.length < 2 && !requests.isHeldFor('s m');
        return mayBeSent && sent.push(tenantName) > 0 ? 'sent' : 'waits';
      };
      requests.add({ ...waitingRequest(tenantName, send), heldFor: () => 's m' });
    }
    vitest.expect(requests.isHeldFor('s m')).toBe(true);
    vitest.expect(requests.report(0)).toEqual([]);
    requests.redispatchHeld(0);
    vitest.expect(sent).toEqual(['a', 'b']);
    vitest.expect(requests.size).toBe(1);
  });
});
