import * as common from '@jayhaven/common';
import * as vitest from 'vitest';
import type { TableRecord } from '../contracts/MetadataStore.js';
import { silentLogger } from '../testing/SilentLogger.js';
import { BlockStore } from './BlockStore.js';

const block = { parts: ['f1', 'bad'], leftMs: 60_000, repetition: 1 };

function fakeStore(records: Map<string, string>): { isUp: boolean } & ConstructorParameters<typeof BlockStore>[0] {
  const failure = common.fail({ kind: 'unavailable', message: 'down' } as const);
  return {
    isUp: true,
    readBlocks() {
      const found: TableRecord[] = [...records].map(([key, value]) => ({ key, value, offset: 0 }));
      return Promise.resolve(this.isUp ? common.succeed(found) : failure);
    },
    writeBlock(key, value) {
      if (this.isUp) {
        records.set(key, value ?? '');
      }
      return Promise.resolve(this.isUp ? common.succeed(undefined) : failure);
    },
  };
}

vitest.describe('block store', () => {
  vitest.test(
    'keeps a block over a restart, with the time that is left (guards against crashes after a restart)',
    async () => {
      const records = new Map<string, string>();
      new BlockStore(fakeStore(records), () => 1_000, silentLogger).write('k1', block);
      const restarted = new BlockStore(fakeStore(records), () => 31_000, silentLogger);
      vitest.expect(await restarted.read()).toEqual(new Map([['k1', { ...block, leftMs: 30_000 }]]));
    },
  );

  vitest.test('ignores removed and unreadable records (guards against one record that ends every daemon)', async () => {
    const records = new Map([
      ['k1', ''],
      ['k2', 'no JSON'],
      ['k3', '{"parts":[1],"untilWallMs":"x"}'],
      ['k4', 'null'],
      ['k5', '{"parts":[],"untilWallMs":1,"repetition":1}'],
    ]);
    vitest.expect(await new BlockStore(fakeStore(records), () => 0, silentLogger).read()).toEqual(new Map());
  });

  vitest.test(
    'writes again what the store did not take (guards against a block that is lost with its leader)',
    async () => {
      const records = new Map<string, string>();
      const store = fakeStore(records);
      store.isUp = false;
      const blocks = new BlockStore(store, () => 0, silentLogger);
      blocks.write('k1', block);
      await new Promise((resolve) => setImmediate(resolve));
      vitest.expect([records.size, blocks.isUnsaved('k1')]).toEqual([0, true]);
      vitest.expect(await blocks.read()).toBeUndefined();
      store.isUp = true;
      blocks.retry();
      await new Promise((resolve) => setImmediate(resolve));
      vitest.expect([records.size, blocks.isUnsaved('k1')]).toEqual([1, false]);
    },
  );
});
