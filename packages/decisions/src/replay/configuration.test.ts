import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as decisions from '../index.js';
import { ControlLog } from '../testing/ControlLog.js';

const { test, expect, describe } = vitest;

function prepare(partners: readonly string[] = ['solano', 'cascade']): ControlLog {
  const log = new ControlLog({ partners });
  log.join('a#1');
  log.join('b#1');
  return log;
}

function editShare(log: ControlLog, partner: string, value: unknown, basedOn: number | null = null): decisions.Verdict {
  const edit = { partner, operator: 'o', key: `shared/share/${partner}`, basedOn, value, reason: '' };
  return log.append('a#1', { kind: 'configurationEdited', ...edit });
}

function approve(log: ControlLog, partner: string, edit: number): string {
  return log.outcome('a#1', { kind: 'configurationApproved', partner, operator: 'o', edit });
}

describe('edits', () => {
  test('one of two concurrent edits wins, and the other verdict names it (guards against silent overrides)', () => {
    const log = prepare();
    const edit = { kind: 'configurationEdited', partner: 'solano', operator: 'maria', reason: '' } as const;
    const field = { key: 'solano/defaults/queueLimit', basedOn: null };
    log.append('a#1', { ...edit, ...field, value: 1 });
    const winner = log.offset;
    expect(log.append('b#1', { ...edit, ...field, value: 2 })).toMatchObject({ rule: 'staleEdit', winner });
    expect(log.state.configuration.get(field.key)).toMatchObject({ value: 1, version: winner });
    expect(log.state.history.map((entry) => entry.rejectedBy)).toEqual([undefined, 'staleEdit']);
    log.append('a#1', { ...edit, ...field, basedOn: winner, value: null });
    const removal = log.offset;
    expect(log.append('b#1', { ...edit, ...field, basedOn: winner, value: 3 })).toMatchObject({ winner: removal });
  });

  test.each<[string, unknown, string]>([
    ['solano/unknown/x', 1, 'unknownKey'],
    ['solano/defaults/constructor', 1, 'unknownKey'],
    ['other/defaults/queueLimit', 1, 'unknownKey'],
    ['shared/share/other', 0.5, 'unknownKey'],
    ['solano/models/a:b', {}, 'unknownKey'],
    ['cascade/defaults/queueLimit', 1, 'foreignKey'],
    ['solano/defaults/queueLimit', -1, 'invalidValue'],
    ['solano/defaults/queueLimit', '1', 'invalidValue'],
    ['solano/defaults/urgency', 'soon', 'invalidValue'],
    ['solano/models/m', { version: 'v1' }, 'invalidValue'],
    ['solano/adapters/m/a', { bytes: 1, extra: 1 }, 'invalidValue'],
    ['solano/services/s', { idempotentRoutes: ['/x'], deadlineMilliseconds: 1 }, 'invalidValue'],
    ['solano/services/s', { idempotentRoutes: ['GET /x'], deadlineMilliseconds: 1 }, 'accepted'],
    ['shared/share/solano', 1.5, 'invalidValue'],
    ['solano/defaults/urgency', 'x'.repeat(20_000), 'invalidValue'],
  ])('%s = %j is %s (guards against values that no daemon can use)', (key, value, outcome) => {
    const log = prepare();
    expect(log.edit('a#1', key, value)).toBe(outcome);
    expect(log.state.configuration.size).toBe(outcome === 'accepted' ? 1 : 0);
    expect(log.state.history).toHaveLength(1);
  });

  test('an exception needs a reason (guards against exceptions that nobody can explain)', () => {
    const log = prepare();
    const edit = { key: 'solano/exceptions/m/maximumReplicas', basedOn: null, value: 2, reason: ' ' };
    const author = { partner: 'solano', operator: 'o' };
    expect(log.outcome('a#1', { kind: 'configurationEdited', ...author, ...edit })).toBe('missingReason');
  });

  test('the history is bounded (guards against growing memory)', () => {
    const log = prepare();
    for (let count = 0; count < decisions.maximumHistoryEntries + 10; count += 1) {
      log.edit('a#1', 'solano/defaults/queueLimit', count);
    }
    expect(log.state.history).toHaveLength(decisions.maximumHistoryEntries);
    expect(log.state.history.at(-1)?.offset).toBe(log.offset);
  });

  test('concurrent edits in any order leave one winner per version (guards against diverging configurations)', () => {
    const racingEdits = fc.array(fc.tuple(fc.nat(1), fc.nat(3), fc.nat(100)), { maxLength: 60, size: 'max' });
    fc.assert(
      fc.property(racingEdits, (edits) => {
        const log = prepare();
        const versions: (number | null)[] = [null];
        const winners = new Set<number | null>();
        for (const [author, lag, value] of edits) {
          const basedOn = versions[Math.max(0, versions.length - 1 - lag)] ?? null;
          const edit = {
            partner: 'solano',
            operator: 'o',
            key: 'solano/defaults/queueLimit',
            basedOn,
            value,
            reason: '',
          };
          if (log.outcome(`${author === 0 ? 'a' : 'b'}#1`, { kind: 'configurationEdited', ...edit }) === 'accepted') {
            expect(winners.has(basedOn)).toBe(false);
            winners.add(basedOn);
            versions.push(log.offset);
          }
        }
        expect(log.state.configuration.get('solano/defaults/queueLimit')?.version ?? null).toBe(versions.at(-1));
      }),
      { seed: 3, numRuns: 200 },
    );
  });
});

describe('shared keys', () => {
  test('take effect only after every other partner has approved (guards against one-sided shares)', () => {
    const log = prepare(['solano', 'cascade', 'third']);
    editShare(log, 'solano', 0.6);
    const edit = log.offset;
    expect(decisions.shareOf(log.state, 'solano')).toBe(0);
    expect(approve(log, 'solano', edit)).toBe('foreignKey');
    expect(approve(log, 'unknown', edit)).toBe('foreignKey');
    expect(approve(log, 'cascade', edit)).toBe('accepted');
    expect(approve(log, 'cascade', edit)).toBe('wrongState');
    expect(decisions.shareOf(log.state, 'solano')).toBe(0);
    expect(log.state.history[0]?.pending).toBe(true);
    expect(approve(log, 'third', edit)).toBe('accepted');
    expect(decisions.shareOf(log.state, 'solano')).toBe(0.6);
    expect(log.state.history[0]).not.toHaveProperty('pending');
    expect(approve(log, 'third', edit)).toBe('unknownReference');
  });

  test('an approval checks the sum of the shares again (guards against shares that exceed the memory)', () => {
    const log = prepare();
    editShare(log, 'solano', 0.6);
    const first = log.offset;
    editShare(log, 'cascade', 0.6);
    const second = log.offset;
    expect(approve(log, 'cascade', first)).toBe('accepted');
    expect(approve(log, 'solano', second)).toBe('shareExceeded');
    expect(log.state.pendingEdits.size).toBe(0);
    expect(log.state.history.at(-1)?.rejectedBy).toBe('shareExceeded');
    expect(editShare(log, 'cascade', 0.5)).toMatchObject({ rule: 'shareExceeded' });
  });

  test('a pending edit is withdrawn when its base is replaced (guards against reverting a newer edit)', () => {
    const log = prepare();
    editShare(log, 'solano', 0.6);
    const first = log.offset;
    const competingEdit = {
      partner: 'cascade',
      operator: 'o',
      key: 'shared/share/solano',
      basedOn: null,
      value: 0.2,
      reason: '',
    };
    log.append('a#1', { kind: 'configurationEdited', ...competingEdit });
    const second = log.offset;
    expect(approve(log, 'solano', second)).toBe('accepted');
    expect(approve(log, 'cascade', first)).toBe('unknownReference');
    expect(decisions.shareOf(log.state, 'solano')).toBe(0.2);
    expect(log.state.history.map((entry) => entry.rejectedBy)).toEqual(['staleEdit', undefined]);
  });
});

describe('settings', () => {
  test('exceptions override defaults, and defaults the built-in values (guards against lost exceptions)', () => {
    const log = prepare();
    log.configureModel('a#1', 'm', 3);
    log.configureModel('a#1', 'n', 2);
    log.edit('a#1', 'solano/defaults/keepAliveSeconds', 10);
    log.edit('a#1', 'solano/defaults/minimumReplicas', 5);
    log.edit('a#1', 'solano/exceptions/m/keepAliveSeconds', 20);
    log.edit('a#1', 'solano/adapters/m/x', { bytes: 7 });
    const settings = decisions.modelSettings(log.state, 'solano', 'm');
    expect(settings).toMatchObject({ keepAliveMs: 20_000, maximumReplicas: 3, minimumReplicas: 3, queueLimit: 200 });
    expect([...(settings?.adapters.values() ?? [])]).toEqual([{ adapter: 'x', bytes: 7 }]);
    expect(decisions.modelSettings(log.state, 'solano', 'n')?.keepAliveMs).toBe(10_000);
    expect(decisions.modelSettings(log.state, 'cascade', 'm')).toBeUndefined();
    expect(decisions.allModels(log.state).map(({ model }) => model)).toEqual(['m', 'n']);
  });
});
