import * as vitest from 'vitest';
import { GroupFixture } from '../log/testing/GroupFixture.js';
import { until } from '../log/testing/support.js';
import type { ControlPlane } from '../Types.js';
import { holdersOf, partitionOf } from './partitions.js';

const daemonNames = ['a', 'b', 'c'];
const key = 'solano/pay/1';

async function acquireKind(plane: ControlPlane | undefined, attempt: string, fingerprint = 'f'): Promise<string> {
  const answer = await plane?.claims.acquire({ key, fingerprint, attempt, timeoutMs: 3000 });
  return answer?.ok ? answer.value.kind : 'failed';
}

function holderOf(planes: readonly ControlPlane[]): ControlPlane {
  const holder = holdersOf(partitionOf(key, 2), planes[0]?.peers.members ?? [])[0];
  const plane = planes.find(({ incarnation }) => incarnation === holder);
  if (!plane) {
    throw new Error('no plane holds the key');
  }
  return plane;
}

vitest.describe('claims on the stand-in log', () => {
  let group: GroupFixture;
  let planes: readonly ControlPlane[];

  vitest.beforeEach(async () => {
    group = await GroupFixture.open();
    planes = await group.startAll(daemonNames);
  });

  vitest.afterEach(async () => {
    await group[Symbol.asyncDispose]();
  });

  vitest.test('grants a key to one attempt across all daemons (guards against a payment that runs twice)', async () => {
    const kinds = await Promise.all(planes.map((plane, index) => acquireKind(plane, `attempt-${index}`)));
    vitest.expect(kinds.sort()).toEqual(['granted', 'running', 'running']);
    vitest.expect(await acquireKind(planes[0], 'other', 'another body')).toBe('mismatch');
  });

  vitest.test('returns the stored answer, and frees a released key', async () => {
    vitest.expect(await acquireKind(planes[0], 'first')).toBe('granted');
    vitest.expect(await planes[0]?.claims.release(key, 'first')).toBe(true);
    vitest.expect(await acquireKind(planes[1], 'second')).toBe('granted');
    const storedAnswer = { contentType: 'text/plain', base64: 'b2s=' };
    vitest.expect(await planes[1]?.claims.complete(key, 'second', 201, storedAnswer)).toBe(true);
    const answer = await planes[2]?.claims.acquire({ key, fingerprint: 'f', attempt: 'third', timeoutMs: 3000 });
    vitest.expect(answer).toEqual({ ok: true, value: { kind: 'completed', status: 201, answer: storedAnswer } });
  });

  vitest.test('the next member answers when the holder has died (guards against a stuck key)', async () => {
    vitest.expect(await acquireKind(planes[0], 'first')).toBe('granted');
    const holder = holderOf(planes);
    const name = daemonNames[planes.indexOf(holder)] ?? '';
    await group.kill(name);
    const survivors = planes.filter((plane) => plane !== holder);
    const kinds = await Promise.all(survivors.map((plane, index) => acquireKind(plane, `attempt-${index}`)));
    vitest.expect(kinds.every((kind) => kind === 'running')).toBe(true);
  });

  vitest.test('a key whose sender is gone stays unknown (guards against a payment that runs twice)', async () => {
    vitest.expect(await acquireKind(planes[0], 'first')).toBe('granted');
    await planes[0]?.leave();
    await group.kill('a');
    vitest.expect(await acquireKind(planes[1], 'second')).toBe('unknown');
    vitest.expect(await acquireKind(planes[2], 'third')).toBe('unknown');
  });

  vitest.test('fails at once in an outage, and reports a result after it (guards against a lost result)', async () => {
    vitest.expect(await acquireKind(planes[0], 'first')).toBe('granted');
    await group.controlLog({ outage: true });
    await until('all daemons detect the outage', () => planes.every((plane) => !plane.log.lag.logAvailable));
    const startedMs = performance.now();
    const refused = await planes[1]?.claims.acquire({ key, fingerprint: 'f', attempt: 'second', timeoutMs: 3000 });
    vitest.expect(performance.now() - startedMs).toBeLessThan(200);
    vitest.expect(refused).toMatchObject({ ok: false });
    vitest.expect(await planes[1]?.claims.release(key, 'second')).toBe(true);
    vitest.expect(await planes[0]?.claims.complete(key, 'first', 200, undefined)).toBe(false);
    await group.controlLog({ outage: false });
    await until('the log is used again', () => planes.every((plane) => plane.log.lag.logAvailable));
    let kind = '';
    for (let tries = 0; tries < 20 && kind !== 'completed'; tries += 1) {
      kind = await acquireKind(planes[1], `later-${tries}`);
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    vitest.expect(kind).toBe('completed');
  });

  vitest.test('the claim of a failed attempt is released (guards against a key that stays taken)', async () => {
    await group.controlLog({ stallAppends: true });
    const refused = await planes[0]?.claims.acquire({ key, fingerprint: 'f', attempt: 'first', timeoutMs: 800 });
    vitest.expect(refused?.ok).toBe(false);
    await group.controlLog({ stallAppends: false });
    vitest.expect(await acquireKind(planes[0], 'first')).toBe('failed');
    let kind = '';
    for (let tries = 0; tries < 30 && kind !== 'granted'; tries += 1) {
      kind = await acquireKind(planes[1], 'second');
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
    vitest.expect(kind).toBe('granted');
  });

  vitest.test('grants once under lost acknowledgements (guards against a payment that runs twice)', async () => {
    await group.controlLog({ loseAcknowledgements: 0.3 });
    const grants = new Map<string, number>();
    await Promise.all(
      Array.from({ length: 60 }, async (_none, index) => {
        const ownKey = `solano/pay/${index % 12}`;
        const answer = await planes[index % 3]?.claims.acquire({
          key: ownKey,
          fingerprint: 'f',
          attempt: `attempt-${index}`,
          timeoutMs: 5000,
        });
        if (answer?.ok && answer.value.kind === 'granted') {
          grants.set(ownKey, (grants.get(ownKey) ?? 0) + 1);
        }
      }),
    );
    vitest.expect(grants.size).toBe(12);
    vitest.expect([...grants.values()].every((count) => count === 1)).toBe(true);
  });
});
