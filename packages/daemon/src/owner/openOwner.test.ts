import * as vitest from 'vitest';
import { ScriptedEngine } from './testing/ScriptedEngine.js';
import { TestCell, until, type TestDaemon } from './testing/TestCell.js';

const model = { version: '1', weightBytes: [40], cacheBytes: 10, expectedLoadMilliseconds: 100 };

/** Three daemons, one engine and one model. */
async function openCell(
  fencing: 'checked' | 'ignored',
): Promise<{ cell: TestCell; engine: ScriptedEngine; daemons: readonly TestDaemon[] }> {
  const cell = new TestCell();
  const engine = await ScriptedEngine.open(fencing);
  const daemons = [await cell.start('d1'), await cell.start('d2'), await cell.start('d3')];
  const [first] = daemons as [TestDaemon, ...TestDaemon[]];
  await cell.addEngine(first.control, engine, fencing);
  await cell.configure(first.control, 'solano/models/m', model);
  await until(() => ownerOf(daemons) !== undefined);
  return { cell, engine, daemons };
}

function ownerOf(daemons: readonly TestDaemon[]): TestDaemon | undefined {
  return daemons.find((daemon) => !daemon.control.killed && daemon.owner.status().isOwner);
}

function readyReplicas(daemon: TestDaemon): number {
  return [...daemon.control.state.replicas.values()].filter((replica) => replica.state === 'ready').length;
}

vitest.describe('openOwner', () => {
  vitest.test('a burst at three daemons costs one decision and one load (guards P1)', async () => {
    const { cell, engine, daemons } = await openCell('checked');
    const answers = await Promise.all(
      Array.from({ length: 10 }, () => daemons)
        .flat()
        .map((daemon) => cell.wake(daemon, 'm')),
    );
    vitest.expect(answers.every((answer) => typeof answer === 'object' && answer.kind === 'expected')).toBe(true);
    await until(() => daemons.every((daemon) => readyReplicas(daemon) === 1));
    vitest.expect(cell.accepted('loadDecided')).toHaveLength(1);
    vitest.expect(engine.orders.filter((order) => order.startsWith('load'))).toHaveLength(1);
    await until(() => daemons.every((daemon) => daemon.control.state.orders.size === 0));
    await cell[Symbol.asyncDispose]();
    await engine[Symbol.asyncDispose]();
  });
});
