import * as common from '@jayhaven/common';
import * as vitest from 'vitest';
import { ScriptedEngine } from '../owner/testing/ScriptedEngine.js';
import { TestCell, until } from '../owner/testing/TestCell.js';
import { chooseCollector } from './chooseCollector.js';

interface ListedVm {
  readonly vm: string;
  state: 'live' | 'leaving';
  readonly address: string;
}

/** Serves a VM list that a test edits; it answers 503 while `vms` is undefined. */
async function openVmList(): Promise<{
  readonly url: string;
  vms: ListedVm[] | undefined;
  reads: number;
  readonly listener: common.HttpListener;
}> {
  const list = { url: '', vms: [] as ListedVm[] | undefined, reads: 0, listener: undefined as unknown };
  const listener = await common.HttpListener.open({ host: '127.0.0.1', port: 0 }, (_request, response) => {
    list.reads += 1;
    if (list.vms === undefined) {
      common.sendJson(response, 503, {});
      return;
    }
    const entries = list.vms.map(({ vm, state, address }) => ({
      targets: [address],
      labels: { vm, failure_domain: 'a', state, role: 'engine', accelerators: '80e9,80e9', fencing: 'checked' },
    }));
    common.sendJson(response, 200, entries);
  });
  return Object.assign(list, { url: `http://127.0.0.1:${listener.port}/vms`, listener });
}

vitest.describe('VM watchers', () => {
  vitest.test('write each change once and a missing VM after two lists (guards against lost replicas)', async () => {
    const list = await openVmList();
    const cell = new TestCell({}, list.url);
    const daemons = [await cell.start('d1'), await cell.start('d2')];
    const [first, second] = daemons as [(typeof daemons)[0], (typeof daemons)[0]];
    list.vms = [
      { vm: 'v1', state: 'live', address: '127.0.0.1:1' },
      { vm: 'v2', state: 'live', address: '127.0.0.1:2' },
    ];
    await until(() => first.control.state.vms.size === 2);
    vitest.expect(first.control.state.vms.get('v1')).toMatchObject({
      failureDomain: 'a',
      state: 'live',
      targets: [{ address: '127.0.0.1:1', role: 'engine', acceleratorBytes: [80e9, 80e9], fencing: 'checked' }],
    });
    list.vms = undefined;
    const reads = list.reads;
    await until(() => list.reads >= reads + 6);
    vitest.expect(first.control.state.vms.size).toBe(2);
    // During an outage of the log, only the hint keeps new work off the VM.
    cell.log.available = false;
    list.vms = [{ vm: 'v1', state: 'leaving', address: '127.0.0.1:1' }];
    await until(() => daemons.every((daemon) => daemon.owner.loads.isLeaving('v1')));
    vitest.expect(first.control.state.vms.get('v1')?.state).toBe('live');
    cell.log.available = true;
    await until(() => second.control.state.vms.get('v1')?.state === 'leaving' && second.control.state.vms.size === 1);
    vitest.expect(second.owner.loads.isLeaving('v1')).toBe(true);
    vitest.expect(second.owner.loads.isLeaving('v2')).toBe(false);
    vitest.expect(cell.accepted('vmObserved')).toHaveLength(4);
    list.vms = [];
    await until(() => first.control.state.vms.size === 0);
    await cell[Symbol.asyncDispose]();
    await list.listener[Symbol.asyncDispose]();
  });
});

vitest.describe('load collectors', () => {
  vitest.test('send changes to subscribers only, also after a restart (guards against stale routing)', async () => {
    const cell = new TestCell();
    await using engine = await ScriptedEngine.open('checked');
    const daemons = [await cell.start('d1'), await cell.start('d2'), await cell.start('d3')];
    const [first, second, third] = daemons as [(typeof daemons)[0], (typeof daemons)[0], (typeof daemons)[0]];
    await cell.addEngine(first.control, engine, 'checked');
    const target = engine.address;
    for (const daemon of [first, second]) {
      daemon.owner.loads.subscribe(target);
    }
    await until(() => [first, second].every((daemon) => daemon.owner.loads.digest(target)?.slots === 8));
    vitest.expect(third.owner.loads.digest(target)).toBeUndefined();
    engine.running = 5;
    await until(() => [first, second].every((daemon) => daemon.owner.loads.digest(target)?.running === 5));
    const previousSequence = first.owner.loads.digest(target)?.sequence ?? 0;
    // An unchanged load is sent again, so that its digest keeps its weight at the routers.
    await until(() => (first.owner.loads.digest(target)?.sequence ?? 0) > previousSequence);
    for (const daemon of [first, second]) {
      daemon.owner.loads.subscribe(target);
    }
    engine.restart();
    engine.running = 1;
    await until(() => [first, second].every((daemon) => daemon.owner.loads.digest(target)?.running === 1));
    vitest.expect(first.owner.loads.digest(target)?.sequence).toBeLessThanOrEqual(previousSequence);
    await engine[Symbol.asyncDispose]();
    await until(() => [first, second].every((daemon) => daemon.owner.loads.digest(target)?.reachable === false));
    await cell[Symbol.asyncDispose]();
  });

  vitest.test(
    'only targets of a leaving member move, and targets are spread evenly (guards against re-polling all)',
    () => {
      const members = Array.from({ length: 9 }, (_unused, index) => `entry-${index}#1`);
      const targets = Array.from({ length: 900 }, (_unused, index) => `10.0.${index % 9}.${index}:8000`);
      const remainingMembers = members.slice(1);
      const counts = new Map<string, number>();
      for (const target of targets) {
        const collectorBefore = chooseCollector(target, members) ?? '';
        const collectorAfter = chooseCollector(target, [...remainingMembers].reverse());
        counts.set(collectorBefore, (counts.get(collectorBefore) ?? 0) + 1);
        if (collectorBefore !== members[0]) {
          vitest.expect(collectorAfter).toBe(collectorBefore);
        }
      }
      vitest.expect(Math.max(...counts.values())).toBeLessThan(150);
      vitest.expect(Math.min(...counts.values())).toBeGreaterThan(60);
    },
  );
});
