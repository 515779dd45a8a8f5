import * as vitest from 'vitest';
import { Cluster, waitUntil, type CallResult, type Target } from './index.js';

const model = 'solano/walkthrough';

function targetAt(targets: readonly Target[], index: number): Target {
  const target = targets[index];
  if (!target) {
    throw new Error(`no target ${index}`);
  }
  return target;
}

async function post(target: Target, path: string, body: unknown): Promise<unknown> {
  const response = await fetch(`${target.standIn.url}${path}`, { method: 'POST', body: JSON.stringify(body) });
  return response.json();
}

async function load(target: Target, bytes: number): Promise<void> {
  await post(target, `/v2/repository/models/${model}/load`, { parameters: { version: '1', bytes: [bytes] } });
  await waitUntil(`${model} is ready`, 5000, async () =>
    JSON.stringify(await post(target, '/v2/repository/index', {})).includes('"READY"'),
  );
}

vitest.describe('Cluster', () => {
  let cluster: Cluster;
  let engine: Target;
  let service: Target;

  vitest.beforeEach(async () => {
    cluster = await Cluster.prepare({
      daemons: 0,
      engines: [{}, {}],
      services: [{ name: 'booking' }],
      engine: { 'token-ms': 2 },
      weightStore: { 'bytes-per-second': 1e12 },
      proxies: { targets: true },
    });
    engine = targetAt(cluster.engines, 0);
    service = targetAt(cluster.services, 0);
  });

  vitest.afterEach(async () => {
    await cluster[Symbol.asyncDispose]();
  });

  function complete(stream: boolean): Promise<CallResult> {
    return cluster.callers.complete(`http://${engine.address}`, { partner: 'solano', model, stream });
  }

  vitest.test('reports nothing when every answer is complete (guards against false violations)', async () => {
    await load(engine, 1e9);
    vitest.expect(await complete(true)).toMatchObject({ outcome: 'complete', status: 200 });
    vitest.expect(await complete(false)).toMatchObject({ outcome: 'complete', status: 200 });
    const call = { partner: 'solano', service: 'booking', key: 'k1' };
    vitest.expect(await cluster.callers.callService(`http://${service.address}`, call)).toMatchObject({
      outcome: 'complete',
    });
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
    vitest.expect(cluster.observer.replicaSpans(model)).toHaveLength(1);
    vitest.expect(cluster.observer.serviceCalls('booking')).toHaveLength(1);
  });

  vitest.test(
    'detects the answer to another request and a truncated answer (guards against a caller that misses them)',
    async () => {
      await load(engine, 1e9);
      await engine.standIn.control({ crossAnswers: 1 });
      vitest.expect(await complete(true)).toMatchObject({ outcome: 'mismatched' });
      await engine.standIn.control({ truncateStreams: 3 });
      vitest.expect(await complete(true)).toMatchObject({ outcome: 'incomplete' });
      await engine.standIn.control({ truncateStreams: 3, truncateCleanly: true });
      vitest.expect(await complete(true)).toMatchObject({ outcome: 'incomplete' });
      vitest.expect(await cluster.observer.violations()).toHaveLength(1);
    },
  );

  vitest.test(
    'detects surplus replicas, overcommitted memory and repeated calls (guards against missed violations)',
    async () => {
      await load(engine, 90e9);
      await load(targetAt(cluster.engines, 1), 1e9);
      const call = { partner: 'solano', service: 'booking', key: 'k1' };
      await cluster.callers.callService(`http://${service.address}`, call);
      await cluster.callers.callService(`http://${service.address}`, call);
      const violations = (await cluster.observer.violations({ replicas: { [model]: 1 } })).join('\n');
      vitest.expect(violations).toContain(`2 replicas of ${model} at once, 1 allowed`);
      vitest.expect(violations).toContain('memoryOvercommitted');
      vitest.expect(violations).toContain('call booking k1 ran 2 times');
    },
  );

  vitest.test('keeps the records of a killed engine (guards against records lost with its process)', async () => {
    await load(engine, 1e9);
    await cluster.observer.copyRecords();
    await engine.standIn.process.kill();
    await engine.standIn.restart();
    await load(engine, 1e9);
    await cluster.observer.copyRecords();
    vitest.expect(cluster.observer.replicaSpans(model)).toHaveLength(2);
    vitest.expect(await cluster.observer.violations({ replicasPerModel: 1 })).toEqual([]);
  });

  vitest.test('ends every process it started (guards against processes left behind)', async () => {
    const standIns = [cluster.log, cluster.vmList, cluster.weightStore, engine.standIn, service.standIn];
    const pids = standIns.map((standIn) => standIn.process.pid);
    engine.standIn.process.pause();
    await cluster[Symbol.asyncDispose]();
    vitest.expect(pids.filter(isRunning)).toEqual([]);
  });
});

function isRunning(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}
