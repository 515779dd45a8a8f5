import * as vitest from 'vitest';
import * as decisions from '../index.js';
import { ControlLog } from '../testing/ControlLog.js';

const { test, expect, describe } = vitest;

const limits: decisions.ControlLimits = {
  maximumConcurrentLoads: 2,
  maximumAdaptersInTransit: 5,
  partners: ['solano', 'cascade'],
};

function prepare(): ControlLog {
  const log = new ControlLog(decisions.defaultLimits);
  log.join('a#1');
  log.join('b#1');
  return log;
}

function setLimits(log: ControlLog, author: string, change: Partial<decisions.ControlLimits> = {}): string {
  const basedOn = log.state.limitsSetAt ?? null;
  return log.outcome(author, { kind: 'limitsSet', basedOn, limits: { ...limits, ...change } });
}

describe('limits', () => {
  test('any daemon sets the first limits and only the owner sets later ones (guards against daemons that overwrite each other)', () => {
    const log = prepare();
    expect(log.edit('a#1', 'solano/defaults/queueLimit', 1)).toBe('unknownKey');
    expect(setLimits(log, 'a#1')).toBe('accepted');
    const racing = { kind: 'limitsSet', basedOn: null, limits: { ...limits, maximumConcurrentLoads: 9 } } as const;
    expect(log.outcome('b#1', racing)).toBe('wrongState');
    expect(setLimits(log, 'a#1', { maximumConcurrentLoads: 9 })).toBe('notOwner');
    log.claim('b#1');
    expect(setLimits(log, 'b#1', { maximumConcurrentLoads: 9 })).toBe('accepted');
    expect(log.state.limits.maximumConcurrentLoads).toBe(9);
    expect(log.edit('a#1', 'solano/defaults/queueLimit', 1)).toBe('accepted');
  });

  test('limits cannot omit a partner that has configuration (guards against excluding it from approvals)', () => {
    const log = prepare();
    setLimits(log, 'a#1');
    log.claim('a#1');
    expect(setLimits(log, 'a#1', { partners: ['solano'] })).toBe('accepted');
    expect(setLimits(log, 'a#1')).toBe('accepted');
    log.edit('a#1', 'solano/defaults/queueLimit', 1);
    expect(setLimits(log, 'a#1', { partners: ['cascade'] })).toBe('wrongState');
    expect(log.state.limits.partners).toEqual(['solano', 'cascade']);
  });

  test('a snapshot contains the limits (guards against a daemon that starts with other limits)', () => {
    const log = prepare();
    setLimits(log, 'a#1');
    const decoded = decisions.decodeSnapshot(JSON.parse(JSON.stringify(decisions.encodeSnapshot(log.state))));
    expect(decoded).toEqual({ ok: true, value: log.state });
  });
});
