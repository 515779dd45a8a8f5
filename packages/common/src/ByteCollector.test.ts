import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { ByteCollector } from './ByteCollector.js';

const partCount = 300_000;
const durationLimitMs = 500;

vitest.describe('ByteCollector', () => {
  vitest.test('returns all parts in order, also after it was emptied (guards against lost or repeated bytes)', () => {
    const parts = fastCheck.array(fastCheck.uint8Array({ maxLength: 700 }), { maxLength: 20 });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(parts, { minLength: 1, maxLength: 4 }), (rounds) => {
        const collector = new ByteCollector();
        const taken = rounds.map((round) => {
          for (const part of round) {
            collector.append(Buffer.from(part));
          }
          return collector.take();
        });
        for (const [index, round] of rounds.entries()) {
          vitest.expect(taken[index]?.equals(Buffer.concat(round))).toBe(true);
        }
        vitest.expect(collector.length).toBe(0);
      }),
    );
  });

  vitest.test('keeps no reference to a part (guards against memory of whole reads that is kept for one byte)', () => {
    const collector = new ByteCollector();
    const part = Buffer.from('a');
    collector.append(part);
    part.write('b');
    vitest.expect(collector.take().toString()).toBe('a');
  });

  vitest.test('takes time in proportion to the bytes (guards against a process that stands still)', () => {
    const collector = new ByteCollector();
    const part = Buffer.from('x');
    const startedMs = performance.now();
    for (let count = 0; count < partCount; count += 1) {
      collector.append(part);
    }
    vitest.expect(performance.now() - startedMs).toBeLessThan(durationLimitMs);
  });
});
