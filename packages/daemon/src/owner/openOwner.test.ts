import type * as decisions from '@jayhaven/decisions';
import * as vitest from 'vitest';
import { ScriptedEngine } from './testing/ScriptedEngine.js';
import { TestCell, until, type TestDaemon } from './testing/TestCell.js';

const modelSettings = { version: '1', weightBytes: [40], cacheBytes: 10, expectedLoadMilliseconds: 100 };

interface Fixture extends AsyncDisposable {
  readonly cell: TestCell;
  readonly engine: ScriptedEngine;
  readonly first: TestDaemon;
  readonly second: TestDaemon;
}

/** Opens two daemons, one engine with room for two models, and the settings of three models and an adapter. */
async function openCell(fencing: 'checked' | 'ignored' = 'checked'): Promise<Fixture> {
  const cell = new TestCell();
  const engine = await ScriptedEngine.open(fencing);
  const first = await cell.start('d1');
  const second = await cell.start('d2');
  await cell.addEngine(first.control, engine, fencing);
  for (const name of ['m', 'n', 'o']) {
    await cell.configure(first.control, `solano/models/${name}`, modelSettings);
  }
  await cell.configure(first.control, 'solano/adapters/m/a', { bytes: 5 });
  await until(() => ownerOf([first, second]) !== undefined);
  const dispose = async (): Promise<void> => {
    await cell[Symbol.asyncDispose]();
    await engine[Symbol.asyncDispose]();
  };
  return { cell, engine, first, second, [Symbol.asyncDispose]: dispose };
}

function ownerOf(daemons: readonly TestDaemon[]): TestDaemon | undefined {
  return daemons.find((daemon) => daemon.owner.status().isOwner);
}

function readyReplica(daemon: TestDaemon, name: string): decisions.ReplicaEntry | undefined {
  return [...daemon.control.state.replicas.values()].find(
    (replica) => replica.model === name && replica.state === 'ready',
  );
}

async function loadAndSettle({ cell, first }: Fixture, name: string): Promise<void> {
  await cell.wake(first, name);
  await until(() => readyReplica(first, name) !== undefined && first.control.state.orders.size === 0);
}

vitest.describe('openOwner', () => {
  vitest.test('a burst at two daemons causes one decision and one load (guards against duplicate loads)', async () => {
    await using fixture = await openCell();
    const { cell, engine, first, second } = fixture;
    const wakes = Array.from({ length: 30 }, (_unused, index) => cell.wake(index % 2 === 0 ? first : second, 'm'));
    for (const answer of await Promise.all(wakes)) {
      vitest.expect(answer).toMatchObject({ kind: 'expected' });
    }
    await until(() => readyReplica(first, 'm') !== undefined && readyReplica(second, 'm') !== undefined);
    vitest.expect(cell.accepted('loadDecided')).toHaveLength(1);
    vitest.expect(engine.orders).toEqual(['load solano/m']);
    await until(() => first.control.state.orders.size === 0);
    vitest.expect(await cell.wake(second, 'm')).toEqual({ kind: 'expected', readyInMs: 0 });
  });

  vitest.test('an adapter is loaded after its base model (guards against an adapter without model)', async () => {
    await using fixture = await openCell();
    const { cell, engine, first } = fixture;
    vitest.expect(await cell.wake(first, 'm', { adapter: 'a' })).toMatchObject({ kind: 'expected' });
    await until(() => readyReplica(first, 'm')?.adapters.get('a')?.state === 'ready');
    vitest.expect(engine.orders).toEqual(['load solano/m', 'loadAdapter solano/m:a']);
    vitest.expect(await cell.wake(first, 'm', { adapter: 'b' })).toMatchObject({ type: 'adapter_unknown' });
  });

  vitest.test('an idle replica is evicted for a load (guards against overcommitment and endless waits)', async () => {
    await using fixture = await openCell();
    const { cell, engine, first } = fixture;
    await loadAndSettle(fixture, 'm');
    await loadAndSettle(fixture, 'n');
    first.owner.client.reportUsage([{ partner: 'solano', model: 'n', version: '1', arrivals: 1, inFlight: 1 }]);
    // Usage is unknown at first, so no replica may be evicted yet and the load waits.
    vitest.expect(await cell.wake(first, 'o')).toMatchObject({ kind: 'expected' });
    await until(() => readyReplica(first, 'o') !== undefined);
    vitest.expect([...engine.models.keys()]).toEqual(['solano/n@1', 'solano/o@1']);
  });

  vitest.test(
    'replicas in use are not evicted; the wake is refused (guards against waits until the deadline)',
    async () => {
      await using fixture = await openCell();
      const { cell, engine, first } = fixture;
      await loadAndSettle(fixture, 'm');
      await loadAndSettle(fixture, 'n');
      const inUse = ['m', 'n'].map((name) => ({
        partner: 'solano',
        model: name,
        version: '1',
        arrivals: 1,
        inFlight: 1,
      }));
      const reporting = setInterval(() => {
        first.owner.client.reportUsage(inUse);
      }, 500);
      const startMs = performance.now();
      let answer = await cell.wake(first, 'o');
      while (typeof answer === 'object' && answer.kind === 'expected' && performance.now() - startMs < 10_000) {
        await new Promise((resolve) => setTimeout(resolve, 250));
        answer = await cell.wake(first, 'o');
      }
      clearInterval(reporting);
      vitest.expect(answer).toMatchObject({ kind: 'refused', type: 'model_no_room' });
      vitest.expect(performance.now() - startMs).toBeLessThan(8_000);
      vitest.expect([...engine.models.keys()]).toEqual(['solano/m@1', 'solano/n@1']);
    },
  );

  vitest.test(
    'a replica of a restarted engine is reported failed (guards against routing to a lost model)',
    async () => {
      await using fixture = await openCell();
      const { cell, engine, first } = fixture;
      await loadAndSettle(fixture, 'm');
      engine.restart();
      await until(() => readyReplica(first, 'm') === undefined);
      vitest.expect(cell.accepted('replicaFailed')).toHaveLength(1);
    },
  );

  vitest.test('a stray model is unloaded (guards against uncounted memory)', async () => {
    await using fixture = await openCell();
    const { engine } = fixture;
    engine.models.set('solano/x@7', { name: 'solano/x', version: '7', state: 'READY', adapters: [] });
    await until(() => engine.models.size === 0);
    vitest.expect(engine.orders).toContain('unload solano/x');
  });

  vitest.test(
    'failing loads are reported and then refused (guards against requests held until their deadline)',
    async () => {
      await using fixture = await openCell();
      const { cell, engine, first } = fixture;
      await using second = await ScriptedEngine.open('checked');
      await using third = await ScriptedEngine.open('ignored');
      await cell.addEngine(first.control, second, 'checked');
      await cell.addEngine(first.control, third, 'ignored');
      for (const failing of [engine, second, third]) {
        failing.failStatus = 500;
      }
      for (const failures of [1, 2, 3]) {
        vitest.expect(await cell.wake(first, 'm')).toMatchObject({ kind: 'expected' });
        await until(() => cell.accepted('replicaFailed').length === failures);
        vitest.expect(first.control.state.replicas.size).toBe(0);
        vitest.expect(first.control.state.orders.size).toBe(0);
      }
      vitest.expect(await cell.wake(first, 'm')).toMatchObject({ kind: 'refused', type: 'model_load_failed' });
    },
  );

  vitest.test(
    'an order whose answer is lost is settled after the delivery time (guards against late orders)',
    async () => {
      await using fixture = await openCell('ignored');
      const { cell, engine, first } = fixture;
      engine.dropResponses = true;
      const startMs = performance.now();
      await cell.wake(first, 'm');
      await until(() => readyReplica(first, 'm') !== undefined);
      engine.dropResponses = false;
      await until(() => first.control.state.orders.size === 0);
      vitest.expect(performance.now() - startMs).toBeGreaterThan(300);
      vitest.expect(cell.accepted('loadDecided')).toHaveLength(1);
    },
  );

  vitest.test('a load at an unreachable engine fails (guards against a load slot that is never freed)', async () => {
    await using fixture = await openCell();
    const { cell, engine, first } = fixture;
    await engine[Symbol.asyncDispose]();
    await cell.wake(first, 'm');
    await until(() => cell.accepted('replicaFailed').length === 1);
    const [settled] = cell.accepted('orderSettled');
    vitest.expect(settled?.body).toMatchObject({ result: 'notSent' });
  });

  vitest.test(
    'a planned stop hands ownership over at once (guards against waiting for the lease to expire)',
    async () => {
      await using fixture = await openCell();
      const { cell, first, second } = fixture;
      const owner = ownerOf([first, second]);
      const other = owner === first ? second : first;
      const answer = cell.wake(other, 'm');
      await answer;
      await owner?.owner.release();
      const releasedMs = performance.now();
      vitest.expect(cell.accepted('ownerReleased')).toHaveLength(1);
      await until(() => other.owner.status().isOwner);
      vitest.expect(performance.now() - releasedMs).toBeLessThan(600);
      await until(() => readyReplica(other, 'm') !== undefined);
      vitest.expect(owner?.owner.status().isOwner).toBe(false);
    },
  );

  vitest.test('a wake during a log outage is refused at once (guards against callers held by an outage)', async () => {
    await using fixture = await openCell();
    fixture.cell.log.available = false;
    const startMs = performance.now();
    vitest.expect(await fixture.cell.wake(fixture.first, 'm')).toBe('logUnavailable');
    vitest.expect(performance.now() - startMs).toBeLessThan(100);
    fixture.cell.log.available = true;
  });

  vitest.test(
    'a replica is added when requests exceed the scale-up limit (guards against an overloaded replica)',
    async () => {
      await using fixture = await openCell();
      const { cell, first } = fixture;
      await using extra = await ScriptedEngine.open('checked');
      await cell.addEngine(first.control, extra, 'checked');
      await cell.configure(first.control, 'solano/defaults/maximumReplicas', 2);
      await loadAndSettle(fixture, 'm');
      first.owner.client.reportUsage([{ partner: 'solano', model: 'm', version: '1', arrivals: 20, inFlight: 20 }]);
      await until(() => first.control.state.replicas.size === 2);
      const targets = [...first.control.state.replicas.values()].map((replica) => replica.target);
      vitest.expect(new Set(targets).size).toBe(2);
    },
  );
});
