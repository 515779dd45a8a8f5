import * as vitest from 'vitest';
import * as decisions from '../index.js';
import { ControlLog } from '../testing/ControlLog.js';

const { test, expect, describe } = vitest;
const version = { partner: 'solano', model: 'm', version: 'v1' };

/** Daemons `a#1` (owner) and `b#1`, one VM with an engine of 100 bytes, and model `m` of 60 bytes. */
function prepare(
  fencing: 'checked' | 'ignored' = 'ignored',
  limits: Partial<decisions.ControlLimits> = {},
): ControlLog {
  const log = new ControlLog(limits);
  log.join('a#1');
  log.join('b#1');
  log.claim('a#1');
  log.observe('a#1', 'vm', 'live', { fencing });
  log.configureModel('a#1', 'm');
  return log;
}

/** Loads model `m` and settles the order; returns the replica. */
function loadReady(log: ControlLog, fields: Partial<decisions.LoadDecided> = {}): number {
  expect(log.load('a#1', fields)).toBe('accepted');
  const replica = log.offset;
  log.settle('a#1', replica);
  expect(log.outcome('a#1', { kind: 'replicaReady', replica })).toBe('accepted');
  return replica;
}

function freeBytesOf(log: ControlLog, target = 'vm:1'): number {
  return decisions.freeBytes(log.state, target)[0] ?? NaN;
}

describe('records', () => {
  test('a repeated append has no second effect (guards against lost acknowledgements)', () => {
    const log = prepare();
    log.configureModel('a#1', 'm', 3);
    log.load('a#1');
    const before = log.state;
    expect(log.append('a#1', { kind: 'daemonLeft' }, 1)).toEqual({ kind: 'duplicate' });
    expect({ ...log.state, appliedOffset: 0 }).toEqual({ ...before, appliedOffset: 0 });
  });

  test('a record at an applied offset changes nothing (guards against a peer that sends old records)', () => {
    const log = prepare();
    const body = { kind: 'daemonLeft' } as const;
    const record = { id: { incarnation: 'a#1', sequence: 99 }, clock: { wallMs: 1, counter: 0 }, body, offset: 3 };
    expect(decisions.replay(log.state, record)).toEqual({ state: log.state, verdict: { kind: 'duplicate' } });
  });

  test.each([
    [
      'an unknown kind',
      { id: { incarnation: 'a#1', sequence: 50 }, clock: { wallMs: 1, counter: 0 }, body: { kind: 'x' } },
    ],
    ['a value without envelope', 'text'],
    ['null', null],
    [
      'a body with a missing field',
      { id: { incarnation: 'a#1', sequence: 50 }, clock: { wallMs: 1, counter: 0 }, body: { kind: 'orderSettled' } },
    ],
  ])('%s is skipped (guards against a log that stops every daemon)', (_name, value) => {
    const log = prepare();
    const before = log.state;
    expect(log.appendValue(value)).toMatchObject({ kind: 'rejected' });
    expect(log.state).toEqual({ ...before, appliedOffset: before.appliedOffset + 1 });
  });

  test('a deeply nested configuration value is rejected (guards against a stack overflow on some daemons only)', () => {
    const log = prepare();
    let value: unknown = 1;
    for (let depth = 0; depth < 100_000; depth += 1) {
      value = [value];
    }
    expect(log.edit('a#1', 'solano/defaults/queueLimit', value)).toBe('invalidRecord');
  });

  test('an infinite figure and a long message are accepted (guards against rejecting valid reports)', () => {
    const log = prepare();
    const reason = { rule: 'keepAlive', figures: { idleMs: Infinity } };
    const decision = { cell: 'cell', claim: 2, ...version, target: 'vm:1', bytes: [60], ordinal: 1, urgency: 'batch' };
    const envelope = { id: { incarnation: 'a#1', sequence: 50 }, clock: { wallMs: 1, counter: 0 } };
    const value = JSON.stringify({ ...envelope, body: { kind: 'loadDecided', ...decision, reason } });
    expect(log.appendValue(JSON.parse(value))).toEqual({ kind: 'accepted' });
    const failed = { kind: 'replicaFailed', replica: log.offset, reason: 'x'.repeat(10_000) } as const;
    const id = { incarnation: 'a#1', sequence: 51 };
    expect(log.appendValue({ ...envelope, id, body: failed })).toEqual({ kind: 'accepted' });
  });
});

describe('membership', () => {
  test('only joined incarnations write, and one that left cannot rejoin (guards against senders after settlement)', () => {
    const log = prepare();
    expect(log.outcome('c#1', { kind: 'daemonLeft' })).toBe('unknownSender');
    expect(log.outcome('b#1', { kind: 'daemonLeft' })).toBe('accepted');
    expect(log.outcome('b#1', { kind: 'daemonLeft' })).toBe('unknownSender');
    log.join('b#1');
    expect(log.state.daemons.has('b#1')).toBe(false);
  });

  test('a restart replaces the old incarnation, which may not claim the cell (guards against a stopped owner)', () => {
    const log = prepare();
    log.join('b#2');
    expect(log.state.daemons.get('b#1')?.state).toBe('replaced');
    const supersedes = log.state.cells.get('cell')?.latestClaim ?? null;
    expect(log.outcome('b#1', { kind: 'ownerClaimed', cell: 'cell', supersedes })).toBe('wrongState');
  });

  test('false evidence is rejected (guards against settling orders of a live daemon)', () => {
    const log = prepare();
    const gone = { kind: 'incarnationGone', incarnation: 'a#1' } as const;
    expect(log.outcome('b#1', { ...gone, evidence: 'successorStarted' })).toBe('wrongState');
    log.observe('b#1', 'vm-a');
    expect(log.outcome('b#1', { ...gone, evidence: 'vmGone' })).toBe('wrongState');
    log.observe('b#1', 'vm-a', 'gone');
    expect(log.outcome('b#1', { ...gone, evidence: 'vmGone' })).toBe('accepted');
    expect(log.state.cells.get('cell')).toMatchObject({ owner: null, claim: null, latestClaim: 2 });
  });

  test('sequences of departed incarnations are bounded (guards against growing memory)', () => {
    const log = prepare();
    for (let start = 0; start < 400; start += 1) {
      log.join(`c#${start}`);
      log.append(`c#${start}`, { kind: 'daemonLeft' });
    }
    expect(log.state.lastSequences.size).toBeLessThanOrEqual(256 + 3);
    expect(log.state.lastSequences.has('a#1')).toBe(true);
  });
});

describe('ownership', () => {
  test('a claim must supersede the latest one (guards against two owners)', () => {
    const log = prepare();
    const claim = { kind: 'ownerClaimed', cell: 'cell', supersedes: 2 } as const;
    expect(log.outcome('b#1', claim)).toBe('accepted');
    expect(log.append('a#1', claim)).toMatchObject({ rule: 'claimSuperseded', winner: log.offset - 1 });
  });

  test('decisions and reports of a superseded owner are rejected (guards against a paused owner)', () => {
    const log = prepare();
    const replica = loadReady(log);
    log.claim('b#1');
    expect(log.load('a#1', { claim: 2 })).toBe('claimSuperseded');
    expect(log.load('a#1')).toBe('notOwner');
    expect(log.outcome('a#1', { kind: 'ownerRenewed', cell: 'cell', claim: 2 })).toBe('claimSuperseded');
    expect(log.outcome('a#1', { kind: 'replicaFailed', replica, reason: 'x' })).toBe('notOwner');
    expect(log.outcome('a#1', { kind: 'fenceRaised', target: 'vm:1', claim: 2 })).toBe('notOwner');
  });

  test('after a release the next claim supersedes the released one (guards against a reused token)', () => {
    const log = prepare();
    expect(log.outcome('a#1', { kind: 'ownerReleased', cell: 'cell', claim: 2 })).toBe('accepted');
    expect(log.load('a#1')).toBe('notOwner');
    expect(log.outcome('b#1', { kind: 'ownerClaimed', cell: 'cell', supersedes: null })).toBe('claimSuperseded');
    expect(log.outcome('b#1', { kind: 'ownerClaimed', cell: 'cell', supersedes: 2 })).toBe('accepted');
  });
});

describe('loads', () => {
  test.each<[string, string, Partial<decisions.LoadDecided>]>([
    ['an unknown target', 'targetUnknown', { target: 'other:1' }],
    ['a leaving VM', 'targetLeaving', { target: 'leaving:1' }],
    ['an ordinal that is not the next', 'wrongOrdinal', { ordinal: 2 }],
    ['more memory than is free', 'memory', { bytes: [101] }],
    ['another number of accelerators', 'memory', { bytes: [10, 10] }],
    ['a model that is not configured', 'unknownReference', { model: 'x' }],
  ])('a load is rejected for %s (guards against loads that cannot run as decided)', (_name, rule, fields) => {
    const log = prepare();
    log.observe('a#1', 'leaving', 'leaving');
    expect(log.load('a#1', fields)).toBe(rule);
    expect(log.state.replicas.size).toBe(0);
  });

  test('replicas stay within the maximum and one per target (guards against surplus replicas)', () => {
    const log = prepare();
    log.observe('a#1', 'vm2');
    loadReady(log);
    expect(log.load('a#1', { target: 'vm2:1', ordinal: 2 })).toBe('maximumReplicas');
    log.configureModel('a#1', 'm', 3);
    expect(log.load('a#1', { ordinal: 2, bytes: [10] })).toBe('wrongState');
    expect(log.load('a#1', { target: 'vm2:1', ordinal: 2 })).toBe('accepted');
  });

  test('loads are limited until the engine has finished them (guards against an overloaded weight store)', () => {
    const log = prepare('ignored', { maximumConcurrentLoads: 1 });
    log.configureModel('a#1', 'n');
    log.load('a#1', { bytes: [10] });
    const replica = log.offset;
    log.settle('a#1', replica);
    expect(log.load('a#1', { model: 'n', bytes: [10] })).toBe('concurrentLoads');
    log.append('a#1', { kind: 'replicaReady', replica });
    expect(log.load('a#1', { model: 'n', bytes: [10] })).toBe('accepted');
  });

  test('memory is reserved until an unload is confirmed, and the order bars a new load (guards against a late unload)', () => {
    const log = prepare();
    const replica = loadReady(log);
    expect(log.unload('a#1', replica)).toBe('accepted');
    const order = log.offset;
    expect(freeBytesOf(log)).toBe(40);
    expect(log.unload('a#1', replica)).toBe('wrongState');
    expect(log.outcome('a#1', { kind: 'replicaReady', replica })).toBe('wrongState');
    expect(log.outcome('a#1', { kind: 'replicaUnloaded', replica })).toBe('accepted');
    expect(freeBytesOf(log)).toBe(100);
    expect(log.load('a#1')).toBe('unsettledOrder');
    expect(log.settle('b#1', order)).toBe('notAuthor');
    log.settle('a#1', order);
    expect(log.load('a#1')).toBe('accepted');
  });
});

describe('unsettled orders', () => {
  test('a load that a paused owner may still send keeps memory and counts as a replica (guards against a late order)', () => {
    const log = prepare();
    log.load('a#1');
    const replica = log.offset;
    log.claim('b#1');
    expect(log.outcome('b#1', { kind: 'replicaFailed', replica, reason: 'not loaded' })).toBe('accepted');
    expect(freeBytesOf(log)).toBe(40);
    expect(decisions.replicasOf(log.state, version)).toMatchObject([{ state: 'pinned' }]);
    log.settle('a#1', replica, 'notSent');
    expect(freeBytesOf(log)).toBe(100);
    expect(decisions.replicasOf(log.state, version)).toEqual([]);
  });

  test('a load sent after the engine reported it not loaded counts as loading (guards against unaccounted memory)', () => {
    const log = prepare();
    log.load('a#1');
    const replica = log.offset;
    log.claim('b#1');
    log.append('b#1', { kind: 'replicaFailed', replica, reason: 'not loaded' });
    log.settle('a#1', replica, 'sent');
    expect(log.state.replicas.get(replica)).toMatchObject({ state: 'loading', target: 'vm:1', vm: 'vm' });
    expect(freeBytesOf(log)).toBe(40);
  });

  test('engine status read before a settlement releases nothing (guards against an outdated answer)', () => {
    const log = prepare();
    log.load('a#1');
    const replica = log.offset;
    log.claim('b#1');
    const readAfter = log.offset;
    log.settle('a#1', replica, 'sent');
    const report = { kind: 'replicaFailed', replica, reason: 'not loaded' } as const;
    expect(log.outcome('b#1', { ...report, readAfter })).toBe('wrongState');
    expect(log.outcome('b#1', { ...report, readAfter: log.offset })).toBe('accepted');
  });

  test('an adopted order is settled only once all of its senders are (guards against one report for two senders)', () => {
    const log = prepare();
    log.load('a#1');
    const order = log.offset;
    const claim = log.claim('b#1');
    expect(log.outcome('b#1', { kind: 'orderAdopted', cell: 'cell', claim, order })).toBe('accepted');
    log.settle('b#1', order);
    expect([...(log.state.orders.get(order)?.senders ?? [])]).toEqual([['a#1', 2]]);
    log.join('a#2');
    log.append('b#1', { kind: 'incarnationGone', incarnation: 'a#1', evidence: 'successorStarted' });
    expect(log.state.orders.size).toBe(0);
    expect(log.settle('a#1', order)).toBe('unknownSender');
  });

  test('an order whose replica is gone cannot be adopted (guards against loading an abandoned replica)', () => {
    const log = prepare();
    log.load('a#1');
    const order = log.offset;
    const claim = log.claim('b#1');
    log.append('b#1', { kind: 'replicaFailed', replica: order, reason: 'not loaded' });
    expect(log.outcome('b#1', { kind: 'orderAdopted', cell: 'cell', claim, order })).toBe('wrongState');
    expect(log.outcome('b#1', { kind: 'orderAdopted', cell: 'cell', claim, order: 1 })).toBe('unknownReference');
  });

  test('a fence settles older claims only at an engine that checks it (guards against relying on an ignored token)', () => {
    for (const fencing of ['checked', 'ignored'] as const) {
      const log = prepare(fencing);
      log.load('a#1');
      const claim = log.claim('b#1');
      const outcome = log.outcome('b#1', { kind: 'fenceRaised', target: 'vm:1', claim });
      expect(outcome).toBe(fencing === 'checked' ? 'accepted' : 'wrongState');
      expect(log.state.orders.size).toBe(fencing === 'checked' ? 0 : 1);
    }
  });

  test('a daemon that leaves settles its orders (guards against memory that stays reserved after a planned stop)', () => {
    const log = prepare();
    log.load('a#1');
    log.append('a#1', { kind: 'daemonLeft' });
    expect(log.state.orders.size).toBe(0);
    expect(log.state.cells.get('cell')?.owner).toBeNull();
  });
});

describe('VMs', () => {
  test('replicas on a gone VM do not count, but its address keeps memory reserved (guards against a reused address)', () => {
    const log = prepare();
    log.load('a#1');
    const replica = log.offset;
    log.observe('b#1', 'vm', 'gone');
    expect(decisions.replicasOf(log.state, version)).toEqual([]);
    expect(decisions.freeBytes(log.state, 'vm:1')).toEqual([]);
    log.observe('b#1', 'vm');
    expect(freeBytesOf(log)).toBe(40);
    log.settle('a#1', replica, 'notSent');
    expect(freeBytesOf(log)).toBe(100);
  });

  test('an observation older than a decision is rejected (guards against a paused watcher)', () => {
    const log = prepare();
    const readAfter = log.offset;
    loadReady(log);
    expect(log.observe('b#1', 'vm', 'gone', { readAfter })).toBe('wrongState');
    expect(log.observe('b#1', 'vm', 'gone', { readAfter: log.offset })).toBe('accepted');
    expect(log.state.replicas.size).toBe(0);
    expect(log.observe('b#1', 'vm')).toBe('accepted');
    expect(log.observe('b#1', 'vm', 'leaving', { readAfter })).toBe('wrongState');
  });
});

describe('adapters', () => {
  test('an adapter needs a ready replica, memory and transit capacity (guards against overcommitted memory)', () => {
    const log = prepare();
    log.load('a#1');
    const replica = log.offset;
    expect(log.loadAdapter('a#1', replica, 'x')).toBe('wrongState');
    log.settle('a#1', replica);
    log.append('a#1', { kind: 'replicaReady', replica });
    expect(log.loadAdapter('a#1', replica, 'x', 41)).toBe('memory');
    expect(log.loadAdapter('a#1', replica, 'x')).toBe('accepted');
    const order = log.offset;
    expect(log.loadAdapter('a#1', replica, 'x')).toBe('wrongState');
    expect(log.loadAdapter('a#1', replica, 'y')).toBe('accepted');
    expect(log.loadAdapter('a#1', replica, 'z')).toBe('adaptersInTransit');
    expect(log.outcome('a#1', { kind: 'adapterReady', order })).toBe('accepted');
    expect(log.loadAdapter('a#1', replica, 'z')).toBe('accepted');
    expect(freeBytesOf(log)).toBe(10);
  });

  test('an adapter is loaded again only after its unload order is settled (guards against a late unload)', () => {
    const log = prepare();
    const replica = loadReady(log);
    log.loadAdapter('a#1', replica, 'x');
    log.settle('a#1', log.offset);
    const unload = { kind: 'adapterUnloadDecided', cell: 'cell', claim: 2, replica, adapter: 'x' } as const;
    expect(log.outcome('a#1', unload)).toBe('accepted');
    const order = log.offset;
    expect(freeBytesOf(log)).toBe(30);
    expect(log.outcome('a#1', { kind: 'adapterUnloaded', replica, adapter: 'x' })).toBe('accepted');
    expect(freeBytesOf(log)).toBe(40);
    expect(log.loadAdapter('a#1', replica, 'x')).toBe('unsettledOrder');
    log.settle('a#1', order);
    expect(log.loadAdapter('a#1', replica, 'x')).toBe('accepted');
  });
});
