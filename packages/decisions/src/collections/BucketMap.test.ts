import * as fc from 'fast-check';
import * as vitest from 'vitest';
import { BucketMap } from './BucketMap.js';

vitest.describe('BucketMap', () => {
  vitest.test('behaves as a Map and does not modify earlier copies (guards against a modified snapshot)', () => {
    const operation = fc.tuple(fc.boolean(), fc.string({ maxLength: 2 }), fc.nat());
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 200 }), (operations) => {
        const model = new Map<string, number>();
        let map = BucketMap.from<number>([]);
        for (const [isSet, key, value] of operations) {
          const before = map;
          const entries = [...before];
          map = isSet ? map.with(key, value) : map.without(key);
          vitest.expect([...before]).toEqual(entries);
          if (isSet) {
            model.set(key, value);
          } else {
            model.delete(key);
          }
        }
        vitest.expect(map.size).toBe(model.size);
        vitest.expect(new Map(map)).toEqual(model);
        vitest.expect(new Map(BucketMap.from(map))).toEqual(model);
        vitest.expect([...map.keys()]).toEqual([...map].map(([key]) => key));
        vitest.expect([...map.values()]).toEqual([...map].map(([, value]) => value));
      }),
      { seed: 5, numRuns: 100 },
    );
  });
});
