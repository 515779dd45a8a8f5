import * as vitest from 'vitest';
import { explainRequest, type LogLine, parseLogLine } from './explainRequest.js';

function lines(...entries: readonly Readonly<Record<string, unknown>>[]): readonly LogLine[] {
  return entries.flatMap((entry) => parseLogLine(JSON.stringify(entry)) ?? []);
}

const refused = {
  time: 20_000,
  attemptId: 'a1',
  target: { model: 'm1' },
  outcome: 'refused',
  replicas: [],
  msg: 'requests: Request.',
};

vitest.describe('explainRequest', () => {
  vitest.test('finds the order that unloaded the model (guards against an unexplained refusal)', () => {
    const unload = {
      time: 12_000,
      replica: 'i-1',
      kind: 'unload',
      model: 'm1',
      clearingFor: 'm2',
      msg: 'placement: Order.',
    };
    const other = { time: 13_000, replica: 'i-2', kind: 'load', model: 'm9', msg: 'placement: Order.' };
    const found = explainRequest(lines(refused, other, unload), 'a1');
    vitest.expect(found.map((line) => line.timeMs)).toEqual([12_000, 20_000]);
  });

  vitest.test('finds when the model started to retire (guards against an unexplained refusal)', () => {
    const message = 'placement: Clearing.';
    const clearing = { time: 11_000, replica: 'i-1', clearingFor: 'm2', retiring: ['m1'], msg: message };
    const other = { time: 12_000, replica: 'i-2', clearingFor: 'm3', retiring: ['m4'], msg: message };
    const found = explainRequest(lines(refused, other, clearing), 'a1');
    vitest.expect(found.map((line) => line.timeMs)).toEqual([11_000, 20_000]);
  });

  vitest.test('finds the replica that failed (guards against an unexplained broken request)', () => {
    const broken = { ...refused, outcome: 'broken', target: undefined, replicas: ['i-1'] };
    const leaves = { time: 19_000, replica: 'i-1', reason: 'record removed', msg: 'replicas: Replica leaves.' };
    vitest.expect(explainRequest(lines(leaves, broken), 'a1').map((line) => line.timeMs)).toEqual([19_000, 20_000]);
  });

  vitest.test('finds a lease lost shortly before the request and ignores an older loss', () => {
    const lost = { time: 18_000, term: 3, msg: 'lease: Lost the lease.' };
    const old = { time: 1_000, term: 1, msg: 'lease: Lost the lease.' };
    vitest.expect(explainRequest(lines(old, refused, lost), 'a1').map((line) => line.timeMs)).toEqual([18_000, 20_000]);
  });

  vitest.test('finds the rate limits that were in force (guards against an unexplained refusal by a limit)', () => {
    const limit = { time: 15_000, replica: 'i-1', perSecond: 1.6, msg: 'limits: Rate limit of a replica in force.' };
    const found = explainRequest(lines(refused, limit), 'a1');
    vitest.expect(found.map((line) => line.timeMs)).toEqual([15_000, 20_000]);
  });

  vitest.test('finds since when the tenant is over its quota (guards against an unexplained 429)', () => {
    const overQuota = { ...refused, tenant: 't-1', status: 429 };
    const begins = { time: 1_000, tenant: 't-1', msg: 'quotas: Tenant is over its quota.' };
    const found = explainRequest(
      lines(begins, { ...begins, time: 500 }, { ...begins, tenant: 't-2' }, overQuota),
      'a1',
    );
    vitest.expect(found.map((line) => line.timeMs)).toEqual([1_000, 20_000]);
  });

  vitest.test(
    'finds the crashes that the parts of a prompt were blocked for (guards against an unexplained block)',
    () => {
      const blocked = { ...refused, target: undefined, blockedParts: ['bad'] };
      const requests = [{ parts: ['f1', 'bad'], isTrial: true }];
      const crash = { time: 1_000, replica: 'i-1', requests, msg: 'crashes: Replica ended with unanswered requests.' };
      const other = { ...crash, time: 1_500, requests: [{ parts: ['f1', 'c1'], isTrial: false }] };
      const block = { time: 2_000, parts: ['bad'], msg: 'crashes: Blocked prompt parts that end replicas.' };
      const found = explainRequest(lines(blocked, block, crash, other), 'a1');
      vitest.expect(found.map((line) => line.timeMs)).toEqual([1_000, 2_000, 20_000]);
    },
  );

  vitest.test('finds nothing for an unknown request and skips text that is not a log line', () => {
    vitest.expect(explainRequest(lines(refused), 'a2')).toEqual([]);
    vitest.expect(parseLogLine('node: warning')).toBeUndefined();
    vitest.expect(parseLogLine('  1.5 front-a {"time":5,"msg":"x"}')).toMatchObject({ timeMs: 5 });
  });
});
