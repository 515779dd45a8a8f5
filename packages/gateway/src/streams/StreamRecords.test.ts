import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import {
  batchKey,
  batchSlot,
  batchSlots,
  countForBatch,
  decodeBatch,
  decodeHistory,
  encodeBatch,
  encodeHistory,
  historyKey,
} from './StreamRecords.js';
import { groupOrigins } from './OriginTable.js';

const group = fastCheck.record({
  service: fastCheck.string(),
  version: fastCheck.string(),
  attemptIds: fastCheck.array(fastCheck.string()),
});
const history = fastCheck.record({
  era: fastCheck.maxSafeNat(),
  versions: fastCheck.dictionary(fastCheck.string(), fastCheck.array(fastCheck.string())),
});

vitest.describe('records of streams', () => {
  vitest.test('decode to what was encoded (guards against forgotten versions)', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.array(group), history, (groups, record) => {
        vitest.expect(decodeBatch(encodeBatch(groups))).toEqual(groups);
        vitest.expect(decodeHistory(encodeHistory(record))).toEqual(record);
      }),
    );
  });

  vitest.test('of any text are read or left out (guards against a leader that fails on a damaged record)', () => {
    const text = fastCheck.oneof(fastCheck.string(), fastCheck.json());
    fastCheck.assert(
      fastCheck.property(text, (value) => {
        vitest.expect(() => [decodeBatch(value), decodeHistory(value)]).not.toThrow();
      }),
      { numRuns: 1_000 },
    );
  });

  vitest.test.each([
    'null',
    '{}',
    '{"era":1}',
    '{"era":1,"versions":null}',
    '{"era":1,"versions":""}',
    '{"era":1,"versions":{"s":"v1"}}',
  ])('reads no history from %s (guards against a version that nobody wrote)', (text) => {
    vitest.expect(decodeHistory(text)).toBeUndefined();
  });

  vitest.test('fit into a record of the store (guards against a batch that is refused for ever)', () => {
    const text = fastCheck.string({ unit: 'grapheme', maxLength: 64 });
    const origin = fastCheck.record({ attemptId: text, service: text, version: text });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(origin, { minLength: 1, maxLength: 30 }), (some) => {
        const origins = Array.from({ length: 6_000 }, (_none, index) => ({
          ...(some[index % some.length] ?? { service: '', version: '' }),
          attemptId: `${some[index % some.length]?.attemptId ?? ''}${index}`,
        }));
        const count = countForBatch(origins);
        vitest.expect(count).toBeGreaterThan(0);
        vitest.expect(Buffer.byteLength(encodeBatch(groupOrigins(origins.slice(0, count))))).toBeLessThan(256 * 1_024);
      }),
      { numRuns: 30 },
    );
  });

  vitest.test('a new batch replaces the oldest one only (guards against lost origins)', () => {
    const keys = Array.from({ length: batchSlots }, (_none, slot) => batchKey(slot));
    vitest.expect(new Set(keys).size).toBe(batchSlots);
    vitest.expect(batchKey(batchSlots)).toBe(batchKey(0));
    vitest.expect(keys.map(batchSlot)).toEqual(keys.map((_key, slot) => slot));
    vitest.expect(batchSlot(historyKey)).toBeUndefined();
  });
});
