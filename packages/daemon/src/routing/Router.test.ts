import * as vitest from 'vitest';
import { FakeControlPlane } from '../front/testing/FakeControlPlane.js';
import { ModelCatalog } from './ModelCatalog.js';
import { Router } from './Router.js';
import type { ResolvedModel } from './Types.js';

interface Setup {
  readonly controlPlane: FakeControlPlane;
  readonly router: Router;
  readonly model: ResolvedModel;
  readonly subscribed: string[];
}

function setUp(targets: readonly string[], random: () => number = Math.random): Setup {
  const controlPlane = new FakeControlPlane(['solano']);
  const settings = { version: '1', weightBytes: [1], cacheBytes: 0, expectedLoadMilliseconds: 1 };
  controlPlane.configure('solano/models/walk', settings);
  targets.forEach((target, index) => {
    controlPlane.setVm(`vm-${index}`, 'live', { address: target });
    controlPlane.setReplica({ replica: index + 1, vm: `vm-${index}` });
  });
  const catalog = new ModelCatalog(controlPlane.log);
  const subscribed: string[] = [];
  const loads = {
    subscribe: (target: string) => subscribed.push(target),
    digest: () => undefined,
    isLeaving: () => false,
  };
  const model = catalog.resolve('solano', 'walk');
  if (!model) {
    throw new Error('the model is not configured');
  }
  return { controlPlane, router: new Router(catalog, loads, random), model, subscribed };
}

const none: ReadonlySet<string> = new Set();

vitest.describe('Router', () => {
  vitest.test('sends the same prompt to the same target (guards against lost prefix caches)', () => {
    const { router, model } = setUp(['a', 'b', 'c', 'd']);
    const first = router.choose(model, 'prompt', none, 0);
    first?.finish('answered', 0);
    for (let turn = 0; turn < 20; turn += 1) {
      const next = router.choose(model, 'prompt', none, turn);
      next?.finish('answered', turn);
      vitest.expect(next?.target).toBe(first?.target);
    }
  });

  vitest.test(
    'stops requests to a target after consecutive failures and probes it (guards against a dead target)',
    async () => {
      const { router, model } = setUp(['a']);
      for (let turn = 0; turn < 3; turn += 1) {
        router.choose(model, '', none, 0)?.finish('failed', 0);
        await Promise.resolve();
      }
      await new Promise((resolve) => setTimeout(resolve, 5));
      vitest.expect(router.choose(model, '', none, 100)).toBeUndefined();
      vitest.expect(router.isRoutable(model, 100)).toBe(false);
      const probe = router.choose(model, '', none, 2_500);
      vitest.expect(probe?.target).toBe('a');
      vitest.expect(router.choose(model, '', none, 2_600)).toBeUndefined();
      probe?.finish('answered', 2_600);
      vitest.expect(router.choose(model, '', none, 2_700)?.target).toBe('a');
    },
  );

  vitest.test('balances by the own requests in flight (guards against herding without digests)', () => {
    const { router, model } = setUp(['a', 'b']);
    const counts = new Map<string, number>();
    for (let turn = 0; turn < 100; turn += 1) {
      const target = router.choose(model, `prompt ${turn}`, none, 0)?.target ?? '';
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    vitest.expect(Math.abs((counts.get('a') ?? 0) - (counts.get('b') ?? 0))).toBeLessThanOrEqual(2);
  });

  vitest.test('pauses one model at a target, not the target (guards against blocking other models)', () => {
    const { controlPlane, router, model, subscribed } = setUp(['a']);
    router.pause(model, 'a', 100);
    vitest.expect(router.isRoutable(model, 99)).toBe(false);
    vitest.expect(router.isRoutable(model, 100)).toBe(true);
    controlPlane.setVm('vm-0', 'leaving');
    vitest.expect(router.isRoutable(model, 100)).toBe(false);
    vitest.expect(subscribed).toContain('a');
  });
});
