import * as vitest from 'vitest';
import type { TableRecord } from '../contracts/index.js';
import type { DaemonReport } from '../peers/Types.js';
import { ReplicaDirectory } from '../replicas/ReplicaDirectory.js';
import { FakeEngine, FakeEngineClient } from '../testing/FakeEngines.js';
import { silentLogger } from '../testing/SilentLogger.js';
import type { Configuration, Replica } from '../Types.js';
import { PlacementLeader } from './PlacementLeader.js';

const tickMs = 100;
const replica: Replica = {
  id: 'r1',
  service: 'models',
  address: { host: '127.0.0.1', port: 1 },
  softwareVersion: 'v1',
  failureDomain: 'a',
  slots: 16,
  state: 'ready',
  bornMs: 5,
  orderSequence: 0,
  models: [],
  inMemory: [],
  onDisk: ['m1', 'm2', 'm3'],
};
const models = ['m1', 'm2', 'm3'].map((name) => ({
  name,
  weightMegabytes: 60,
  adapterMegabytes: 1,
  loadMs: { memory: 100, disk: 200, store: 6_000 },
}));
const configuration: Configuration = {
  version: 1,
  routes: [],
  services: new Map([
    [
      'models',
      {
        name: 'models',
        engine: {
          weightMegabytes: 130,
          adapterSlots: 2,
          storeLoadsPerSecond: 4,
          models: new Map(models.map((model) => [model.name, model])),
        },
      },
    ],
  ]),
  tenants: [],
  callerLimits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

/** A leader of the given replicas, by default a single one, on fake timers. */
class LeaderFixture {
  public readonly engine = new FakeEngine();
  public readonly engines = new Map<string, FakeEngine>();
  public token: number | undefined = 7;
  public readonly leader: PlacementLeader;

  public constructor(replicas: readonly Replica[] = [replica]) {
    const engines = new FakeEngineClient();
    const directory = new ReplicaDirectory((id) => replicas.find((one) => one.id === id), silentLogger);
    replicas.forEach(({ id }, index) => {
      this.engines.set(id, index === 0 ? this.engine : new FakeEngine());
      const record: TableRecord = { key: id, offset: index, value: 'any' };
      directory.apply([record], { nowMs: 0, source: 'store', removalGraceMs: 0 });
    });
    this.engines.forEach((engine, id) => engines.engines.set(id, engine));
    const clock = { now: () => ({ steadyMs: Date.now(), wallMs: Date.now() }) };
    const token = (): number | undefined => this.token;
    const currentConfiguration = (): Configuration => configuration;
    this.leader = new PlacementLeader('vm1', currentConfiguration, directory, engines, token, clock, silentLogger);
  }

  public async run(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += tickMs) {
      this.leader.tick();
      await vitest.vi.advanceTimersByTimeAsync(tickMs);
    }
  }

  public reportWaitingRequest(model: string, adapter?: string): void {
    const modelReference = adapter === undefined ? { model } : { model, adapter };
    const report: DaemonReport = {
      daemon: 'vm1',
      waiting: [{ target: modelReference, count: 1, slackMs: 0 }],
      arrivals: [{ target: modelReference, count: 1, latencyTargetMs: 250 }],
      running: [],
      unreachable: [],
    };
    this.leader.applyReport(report);
  }
}

vitest.describe('placement leader', () => {
  vitest.beforeEach(() => {
    vitest.vi.useFakeTimers();
  });

  vitest.afterEach(() => {
    vitest.vi.useRealTimers();
  });

  vitest.test('sends no order during an order of a former leader (guards against overcommitted memory)', async () => {
    const fixture = new LeaderFixture();
    fixture.engine.models = ['m1'];
    fixture.engine.sequence = 3;
    fixture.engine.orderInProgress = true;
    for (let step = 0; step < 20; step += 1) {
      fixture.reportWaitingRequest('m3');
      await fixture.run(tickMs);
    }
    vitest.expect(fixture.engine.orders).toEqual([]);

    fixture.engine.models = ['m1', 'm2'];
    fixture.engine.orderInProgress = false;
    await fixture.run(500);
    fixture.reportWaitingRequest('m3');
    await fixture.run(200);
    vitest.expect(fixture.engine.orders[0]).toMatchObject({ kind: 'unload', expectedSequence: 3 });
  });

  vitest.test('sends no order without the lease (guards against two leaders that order the same replica)', async () => {
    const fixture = new LeaderFixture();
    await fixture.run(300);
    fixture.token = undefined;
    fixture.reportWaitingRequest('m1');
    await fixture.run(1_000);
    vitest.expect(fixture.engine.orders).toEqual([]);
  });

  vitest.test(
    'resends an unanswered order with the same sequence (guards against a load that is executed twice)',
    async () => {
      const fixture = new LeaderFixture();
      await fixture.run(300);
      fixture.engine.lostResponses = 'dropped';
      fixture.reportWaitingRequest('m1');
      await fixture.run(1_000);
      vitest.expect(fixture.engine.orders.length).toBeGreaterThan(1);
      vitest.expect(new Set(fixture.engine.orders.map((order) => order.expectedSequence))).toEqual(new Set([0]));
      fixture.engine.lostResponses = 'never';
      await fixture.run(1_000);
      vitest.expect(fixture.engine.models).toEqual(['m1']);
    },
  );

  vitest.test(
    'recovers after an unanswered order that took effect (guards against a replica that gets no more orders)',
    async () => {
      const fixture = new LeaderFixture();
      await fixture.run(300);
      fixture.engine.lostResponses = 'carriedOut';
      fixture.reportWaitingRequest('m1');
      await fixture.run(100);
      fixture.engine.lostResponses = 'never';
      await fixture.run(1_500);
      fixture.reportWaitingRequest('m2');
      await fixture.run(1_500);
      vitest.expect(fixture.engine.models).toEqual(['m1', 'm2']);
    },
  );

  vitest.test(
    'recovers when its sequence is ahead of the replica (guards against adapters that are never loaded)',
    async () => {
      const fixture = new LeaderFixture();
      fixture.engine.models = ['m1'];
      fixture.engine.sequence = 4;
      await fixture.run(300);
      // The replica's sequence is behind the leader's, as after an order for a model that the replica already held.
      fixture.engine.sequence = 3;
      fixture.reportWaitingRequest('m1', 'a1');
      await fixture.run(2_000);
      fixture.reportWaitingRequest('m1', 'a1');
      await fixture.run(500);
      vitest.expect(fixture.engine.adapters).toEqual(['a1']);
    },
  );

  vitest.test(
    'estimates loads by the speed of the store (guards against requests held for a load that ends much later)',
    async () => {
      const fixture = new LeaderFixture(['r1', 'r2'].map((id) => ({ ...replica, id, onDisk: [] })));
      await fixture.run(2_500);
      const loads = [...fixture.engines.values()].flatMap((engine) => engine.orders);
      vitest.expect(loads.map(({ kind }) => kind)).toEqual(['load', 'load']);
      // The store runs one load at full speed, so the second one exceeds the nominal 6 s.
      fixture.engines.forEach((engine) => {
        engine.orderInProgress = true;
      });
      await fixture.run(7_500);
      fixture.reportWaitingRequest(loads[1]?.model ?? '');
      await fixture.run(200);
      const readyInMs = fixture.leader.estimates().map((estimate) => estimate.readyInMs);
      vitest.expect(Math.max(...readyInMs)).toBeGreaterThan(1_000);
    },
  );
});
