import type * as decisions from '@jayhaven/decisions';
import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { ScriptedEngine } from './testing/ScriptedEngine.js';
import { TestCell, until, type TestDaemon } from './testing/TestCell.js';

const modelSettings = { version: '1', weightBytes: [40], cacheBytes: 10, expectedLoadMilliseconds: 100 };
/** Time within which the reconciler of a daemon that isn't the owner ends, milliseconds. */
const reconcilerEndMs = 600;
const fencingModes = ['checked', 'ignored'] as const;

interface Fixture extends AsyncDisposable {
  readonly cell: TestCell;
  readonly engine: ScriptedEngine;
  readonly daemons: readonly TestDaemon[];
  readonly owner: TestDaemon;
  /** A daemon that does not own the cell initially. */
  readonly other: TestDaemon;
}

/** Opens three daemons, one engine and one model, and waits until a daemon owns the cell. */
async function openCell(fencing: 'checked' | 'ignored'): Promise<Fixture> {
  const cell = new TestCell();
  const engine = await ScriptedEngine.open(fencing);
  const daemons = [await cell.start('d1'), await cell.start('d2'), await cell.start('d3')];
  const control = cell.group[0];
  if (control === undefined) {
    throw new Error('invariant broken: no daemon');
  }
  await cell.addEngine(control, engine, fencing);
  await cell.configure(control, 'solano/models/m', modelSettings);
  await until(() => daemons.some((daemon) => daemon.owner.status().isOwner));
  const owner = daemons.find((daemon) => daemon.owner.status().isOwner);
  const other = daemons.find((daemon) => daemon !== owner);
  if (owner === undefined || other === undefined) {
    throw new Error('invariant broken: no owner');
  }
  const dispose = async (): Promise<void> => {
    await cell[Symbol.asyncDispose]();
    await engine[Symbol.asyncDispose]();
  };
  return { cell, engine, daemons, owner, other, [Symbol.asyncDispose]: dispose };
}

function replicasIn(daemon: TestDaemon, state: decisions.ReplicaState): readonly decisions.ReplicaEntry[] {
  return [...daemon.control.state.replicas.values()].filter((replica) => replica.state === state);
}

/** Pauses a daemon when its first order arrives, and delays the order until the returned function is called. */
function pauseAtFirstOrder(engine: ScriptedEngine, daemon: TestDaemon): () => void {
  let deliver = (): void => undefined;
  engine.beforeOrder = () => {
    daemon.control.paused = true;
    engine.beforeOrder = () => undefined;
    return new Promise((resolve) => {
      deliver = resolve;
    });
  };
  return () => {
    deliver();
  };
}

/** Expects one ready replica, one model at the engine and one decided load. */
async function expectOneReplica({ cell, engine, other }: Fixture): Promise<void> {
  await until(() => replicasIn(other, 'ready').length === 1);
  vitest.expect([...engine.models.keys()]).toEqual(['solano/m@1']);
  vitest.expect(other.control.state.replicas.size).toBe(1);
  vitest.expect(cell.accepted('loadDecided')).toHaveLength(1);
}

/** Expects that no owner after the first adopted the order twice; a stall of the test process adds owners. */
function expectOneAdoptionByOwner(cell: TestCell): void {
  const claims = cell.accepted('ownerClaimed').map(({ offset }) => offset);
  const adoptions = cell
    .accepted('orderAdopted')
    .flatMap(({ body }) => (body.kind === 'orderAdopted' ? body.claim : []));
  vitest.expect(adoptions[0]).toBeDefined();
  vitest.expect(claims.slice(1)).toEqual(vitest.expect.arrayContaining(adoptions));
  vitest.expect(new Set(adoptions).size).toBe(adoptions.length);
}

vitest.describe('lease', () => {
  vitest.test(
    'an owner keeps the cell on a log slower than the lease (guards against alternating owners)',
    async () => {
      await using fixture = await openCell('checked');
      const { cell, owner, other } = fixture;
      cell.log.delayMs = 900;
      await new Promise((resolve) => setTimeout(resolve, 5_000));
      vitest.expect(cell.accepted('ownerClaimed')).toHaveLength(1);
      vitest.expect(owner.owner.status().isOwner).toBe(true);
      vitest.expect(await cell.wake(other, 'm')).toMatchObject({ kind: 'expected' });
      await expectOneReplica(fixture);
      vitest.expect(cell.accepted('ownerClaimed')).toHaveLength(1);
    },
  );
});

vitest.describe.each(fencingModes)('takeover at an engine whose fencing is %s', (fencing) => {
  vitest.test.each(['loadDecided', 'orderSettled', 'replicaReady'] as const)(
    'an owner killed while it appends %s leaves one replica (guards against lost or duplicate loads)',
    async (kind) => {
      await using fixture = await openCell(fencing);
      const { cell, owner, other } = fixture;
      owner.control.beforeAppend = (body) => {
        owner.control.killed ||= body.kind === kind;
      };
      const answer = cell.wake(other, 'm');
      await until(() => owner.control.killed);
      await answer;
      await until(() => other.control.state.cells.get('c')?.owner !== owner.control.incarnation);
      await cell.wake(other, 'm');
      await expectOneReplica(fixture);
      const { incarnation } = owner.control;
      if (fencing === 'ignored' && kind === 'orderSettled') {
        // At an engine that ignores tokens, the order is settled only once its sender is known to be gone.
        const senders = [...other.control.state.orders.values()].flatMap((order) => [...order.senders.keys()]);
        vitest.expect(senders).toContain(incarnation);
        await other.control.append({ kind: 'incarnationGone', incarnation, evidence: 'vmGone' });
      }
      await until(() => other.control.state.orders.size === 0);
    },
  );

  vitest.test(
    'an owner killed between read-back and send leaves one replica (guards against unsent loads)',
    async () => {
      await using fixture = await openCell(fencing);
      const { cell, owner, other, engine } = fixture;
      // This listener receives the replayed decision before the reconcilers do.
      const unsubscribe = owner.control.onChange((change) => {
        owner.control.killed ||= change.record.body.kind === 'loadDecided';
      });
      await cell.wake(other, 'm');
      await until(() => owner.control.killed);
      unsubscribe();
      vitest.expect(engine.orders).toEqual([]);
      await expectOneReplica(fixture);
    },
  );

  vitest.test('an unload finishes after its owner is killed (guards against memory that is never freed)', async () => {
    await using fixture = await openCell(fencing);
    const { cell, owner, other } = fixture;
    await cell.wake(other, 'm');
    await until(() => replicasIn(other, 'ready').length === 1 && other.control.state.orders.size === 0);
    owner.control.beforeAppend = (body) => {
      owner.control.killed ||= body.kind === 'orderSettled';
    };
    await cell.configure(other.control, 'solano/defaults/keepAliveSeconds', 0);
    await until(() => owner.control.killed);
    await until(() => other.control.state.replicas.size === 0);
    vitest.expect(fixture.engine.models.size).toBe(0);
    vitest.expect(cell.accepted('replicaUnloaded')).toHaveLength(1);
  });

  vitest.test('an order delayed by a pause of its owner adds no replica (guards against late orders)', async () => {
    await using fixture = await openCell(fencing);
    const { cell, owner, other, engine } = fixture;
    const deliver = pauseAtFirstOrder(engine, owner);
    // Long enough for many rounds of the reconciler, none of which may adopt the order again.
    engine.loadMs = 500;
    await cell.wake(other, 'm');
    await expectOneReplica(fixture);
    expectOneAdoptionByOwner(cell);
    vitest.expect(other.control.state.orders.size).toBe(fencing === 'ignored' ? 1 : 0);
    deliver();
    owner.control.paused = false;
    await until(() => other.control.state.orders.size === 0);
    await expectOneReplica(fixture);
    const refusedOrders = engine.orders.filter((order) => order === 'refused load solano/m');
    vitest.expect(refusedOrders).toHaveLength(fencing === 'checked' ? 1 : 0);
  });

  vitest.test(
    'an order is adopted once though its new owner loses sight of its lease (guards against repeated loads)',
    async () => {
      await using fixture = await openCell(fencing);
      const { cell, daemons, owner, other, engine } = fixture;
      const deliver = pauseAtFirstOrder(engine, owner);
      engine.loadMs = 3_000;
      for (const daemon of daemons) {
        daemon.control.killed ||= daemon !== owner && daemon !== other;
      }
      await cell.wake(other, 'm');
      await until(() => cell.accepted('orderAdopted').length === 1);
      await until(() => cell.accepted('orderSettled').length === 1);
      other.control.paused = true;
      await until(() => !other.owner.status().isOwner);
      await timers.setTimeout(reconcilerEndMs);
      other.control.paused = false;
      await until(() => other.owner.status().isOwner);
      await expectOneReplica(fixture);
      expectOneAdoptionByOwner(cell);
      deliver();
    },
  );

  vitest.test('a late load of a failed replica is refused or counted (guards against uncounted memory)', async () => {
    await using fixture = await openCell(fencing);
    const { cell, owner, other, engine } = fixture;
    const deliver = pauseAtFirstOrder(engine, owner);
    await cell.wake(other, 'm');
    await until(() => replicasIn(other, 'ready').length === 1);
    engine.restart();
    await until(() => other.control.state.replicas.size === 0);
    deliver();
    owner.control.paused = false;
    await until(() => other.control.state.orders.size === 0);
    // Either the engine refused the late order, or its model is counted.
    await until(() => replicasIn(other, 'ready').length === engine.models.size);
    vitest.expect(engine.models.size).toBe(fencing === 'checked' ? 0 : 1);
  });
});
