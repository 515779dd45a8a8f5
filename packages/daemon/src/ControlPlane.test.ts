import * as vitest from 'vitest';
import { edit, GroupFixture } from './log/testing/GroupFixture.js';
import { joinedDaemons, until } from './log/testing/support.js';
import type { ControlPlane } from './Types.js';

const names = ['a', 'b', 'c', 'd'];

function editedValue(plane: ControlPlane, field: string): unknown {
  return plane.log.state.configuration.get(`solano/defaults/${field}`)?.value;
}

const anyPort = { host: '127.0.0.1', port: 0 };

vitest.describe('control plane on the log stand-in', () => {
  let group: GroupFixture;

  vitest.beforeEach(async () => {
    group = await GroupFixture.open();
  });

  vitest.afterEach(async () => {
    await group[Symbol.asyncDispose]();
  });

  vitest.test('daemons join and call each other (guards against a group that does not form)', async () => {
    const [first, second] = await group.startAll(names);
    second?.peers.handle('status.read', (parameters, caller) => Promise.resolve({ parameters, caller }));
    const response = await first?.peers.call(second?.incarnation ?? '', 'status.read', { x: 1 }, 1000);
    vitest.expect(response).toEqual({ ok: true, value: { parameters: { x: 1 }, caller: first?.incarnation } });
    vitest.expect(first?.peers.members.map(({ daemon }) => daemon).sort()).toEqual(names);
    vitest.expect(first?.peers.traffic?.sentBytes).toBeGreaterThan(0);
  });

  vitest.test('one of two racing edits is accepted everywhere (guards against a lost edit)', async () => {
    const planes = await group.startAll(names);
    const outcomes = await Promise.all(
      planes.slice(0, 2).map((plane, index) => plane.log.append(edit('queueLimit', 100 + index, null), 2000)),
    );
    vitest.expect(outcomes.filter((outcome) => outcome.ok)).toHaveLength(1);
    const loser = outcomes.find((outcome) => !outcome.ok);
    vitest.expect(loser).toMatchObject({ failure: { kind: 'rejected', rule: 'staleEdit' } });
    await until('the edit is in force everywhere', () =>
      planes.every((plane) => editedValue(plane, 'queueLimit') === editedValue(planes[0] ?? plane, 'queueLimit')),
    );
  });

  vitest.test(
    'an edit reaches a daemon that is cut off from the log within 3 s (guards against a stale daemon)',
    async () => {
      const planes = await group.startAll(names);
      await group.cutOff('d', true);
      const startedMs = performance.now();
      const outcome = await planes[0]?.log.append(edit('queueLimit', 7, null), 2000);
      vitest.expect(outcome?.ok).toBe(true);
      await until('the edit is in force everywhere', () =>
        planes.every((plane) => editedValue(plane, 'queueLimit') === 7),
      );
      vitest.expect(performance.now() - startedMs).toBeLessThan(3000);
      await until('the cut-off daemon detects the outage', () => !group.plane('d').log.lag.logAvailable);
      await group.cutOff('d', false);
      await until('the log is available to it again', () => group.plane('d').log.lag.logAvailable);
      vitest.expect((await group.plane('d').log.append(edit('queueLimit', 8, null), 2000)).ok).toBe(false);
    },
  );

  vitest.test('an edit is in force within 3 s while the log is slow (guards against a false outage)', async () => {
    const planes = await group.startAll(names);
    await group.controlLog({ appendDelayMs: 700, readDelayMs: 700 });
    await new Promise((resolve) => setTimeout(resolve, 3000));
    vitest.expect(planes.every((plane) => plane.log.lag.logAvailable)).toBe(true);
    const startedMs = performance.now();
    vitest.expect((await planes[0]?.log.append(edit('queueLimit', 7, null), 5000))?.ok).toBe(true);
    await until('the edit is in force everywhere', () =>
      planes.every((plane) => editedValue(plane, 'queueLimit') === 7),
    );
    vitest.expect(performance.now() - startedMs).toBeLessThan(3000);
  });

  vitest.test(
    'an edit is in force soon after the log hung for a moment (guards against an outage as long as a timeout)',
    async () => {
      const planes = await group.startAll(names, { platform: { logTimeoutMs: 6_000 } });
      await group.controlLog({ outage: 'hang' });
      await new Promise((resolve) => setTimeout(resolve, 1_300));
      await group.controlLog({ outage: false });
      const startedMs = performance.now();
      // Refused while the log counts as down; an unconfirmed edit may be in force.
      while (planes[0] !== undefined && editedValue(planes[0], 'queueLimit') !== 7) {
        await planes[0].log.append(edit('queueLimit', 7, null), 5_000);
        await new Promise((resolve) => setTimeout(resolve, 100));
      }
      await until('the edit is in force everywhere', () =>
        planes.every((plane) => editedValue(plane, 'queueLimit') === 7),
      );
      vitest.expect(performance.now() - startedMs).toBeLessThan(3_000);
    },
  );

  vitest.test('a daemon that starts in an outage fetches the state from a seed and joins later', async () => {
    const [first] = await group.startAll(names);
    await first?.log.append(edit('queueLimit', 7, null), 2000);
    await group.controlLog({ outage: true });
    const seeds = [...(first?.log.state.daemons.values() ?? [])].map(({ peers }) => peers);
    const late = await group.start('e', { seedPeers: seeds.slice(0, 2) });
    await until('the state has been received from a peer', () => editedValue(late, 'queueLimit') === 7);
    vitest.expect(late.log.lag.source).not.toBe('log');
    const refused = await late.log.append(edit('queueLimit', 8, null), 2000);
    vitest.expect(refused).toMatchObject({ failure: { kind: 'logUnavailable' } });
    late.peers.handle('status.read', () => Promise.resolve('late'));
    await until('it has all daemons as members', () => late.peers.members.length === names.length + 1);
    const neighbours = await Promise.all(
      names.map((name) => group.plane(name).peers.call(late.incarnation, 'status.read', {}, 1000)),
    );
    vitest.expect(neighbours.some((response) => response.ok && response.value === 'late')).toBe(true);
    await group.controlLog({ outage: false });
    await until('it has joined', () => joinedDaemons(late).includes('e'));
  });

  vitest.test('a successor settles the old incarnation once, after the delivery time', async () => {
    const [first, second] = await group.startAll(names);
    const old = first?.incarnation ?? '';
    const peers = first?.log.state.daemons.get(old)?.peers ?? { host: '127.0.0.1', port: 0 };
    await group.kill('a');
    const startedMs = performance.now();
    // Only a new process on the same port proves that the old process has ended.
    await group.start('a', { listen: { callers: anyPort, peers, operators: anyPort } });
    await until('it is replaced', () => second?.log.state.daemons.get(old)?.state === 'replaced');
    await until('it is gone', () => second?.log.state.daemons.has(old) === false);
    vitest.expect(performance.now() - startedMs).toBeGreaterThan(1000);
    const gone = group.log
      .topic('test-control')
      .read(0, 1e6)
      .records.filter(({ value }) => JSON.stringify(value).includes('incarnationGone'));
    vitest.expect(gone).toHaveLength(1);
  });

  vitest.test('a vanished VM settles its daemon, and a live process on it is notified', async () => {
    const [first, second] = await group.startAll(names);
    let removed = false;
    second?.onRemoved?.(() => {
      removed = true;
    });
    const observed = { kind: 'vmObserved', vm: 'vm-b', failureDomain: 'a', state: 'gone', targets: [] } as const;
    await first?.log.append(observed, 2000);
    await until('the incarnation is gone', () => first?.log.state.daemons.has(second?.incarnation ?? '') === false);
    await until('the daemon is notified', () => removed);
    await new Promise((resolve) => setTimeout(resolve, 700));
    vitest.expect(joinedDaemons(group.plane('a'))).toEqual(['a', 'c', 'd']);
  });

  vitest.test('all members suspect a killed member, and no responding one (guards against dead holders)', async () => {
    const planes = await group.startAll(names);
    await group.kill('b');
    const rest = planes.filter((_plane, index) => index !== 1);
    const suspected = (plane: ControlPlane): readonly string[] =>
      plane.peers.members.filter((member) => member.suspected).map(({ daemon }) => daemon);
    await until('all members suspect it', () => rest.every((plane) => suspected(plane).join() === 'b'), 8000);
    const response = await rest[0]?.peers.call(planes[1]?.incarnation ?? '', 'peer.heartbeat', {}, 1000);
    vitest.expect(response).toMatchObject({ ok: false, failure: { kind: 'refused' } });
  });

  vitest.test(
    'leaving hints reach all daemons while the log is down (guards against requests to a leaving target)',
    async () => {
      const planes = await group.startAll(names);
      await group.controlLog({ outage: true });
      const notified = new Set<number>();
      planes.forEach((plane, index) => {
        plane.peers.onLeavingHints((vms) => {
          if (vms.includes('vm-7')) {
            notified.add(index);
          }
        });
      });
      planes[0]?.peers.setLeavingHints(['vm-7']);
      await until('the others have received the hint', () => [1, 2, 3].every((index) => notified.has(index)), 4000);
    },
  );

  vitest.test('a daemon that has left is no longer a member and appends nothing', async () => {
    const [first] = await group.startAll(names);
    await first?.leave();
    await until('it has left', () => !joinedDaemons(group.plane('b')).includes('a'));
    vitest.expect((await first?.log.append(edit('queueLimit', 1, null), 1000))?.ok).toBe(false);
    await new Promise((resolve) => setTimeout(resolve, 1200));
    vitest.expect(joinedDaemons(group.plane('b'))).toEqual(['b', 'c', 'd']);
  });

  vitest.test('configuration outlives retention (guards against an edit that reverts)', async () => {
    await group[Symbol.asyncDispose]();
    group = await GroupFixture.open({ retentionMs: 3000 });
    const platform = { logRetentionMs: 3000 };
    const [first] = await group.startAll(['a', 'b'], { platform });
    await first?.log.append(edit('queueLimit', 7, null), 2000);
    await new Promise((resolve) => setTimeout(resolve, 5000));
    vitest.expect(group.log.topic('test-control').beginningOffset).toBeGreaterThan(2);
    const late = await group.start('c', { platform });
    vitest.expect(editedValue(late, 'queueLimit')).toBe(7);
    vitest.expect(joinedDaemons(late)).toEqual(['a', 'b', 'c']);
  });
});
