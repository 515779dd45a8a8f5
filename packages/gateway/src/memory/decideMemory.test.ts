import * as vitest from 'vitest';
import { decideMemory, type MemoryDemand } from './decideMemory.js';
import type { MemoryHolder } from './Types.js';

const kibibyte = 1024;
const totalBytes = 1_024 * kibibyte;
const nowMs = 10_000;

interface NamedHolder extends MemoryHolder {
  readonly name: string;
}

function holder(name: string, heldKibibytes: number, stalledMs: number, isReleasable = true): NamedHolder {
  return {
    name,
    heldBytes: heldKibibytes * kibibyte,
    isReleasable,
    stalledMs: () => stalledMs,
    release: () => undefined,
  };
}

function decide(demand: Partial<MemoryDemand>, freeKibibytes: number, holders: readonly NamedHolder[]): unknown {
  const decision = decideMemory(
    { heldBytes: 0, neededBytes: 64 * kibibyte, waitedMs: 0, ...demand },
    { totalBytes, freeBytes: freeKibibytes * kibibyte, holders },
    nowMs,
  );
  return decision.kind === 'grant'
    ? decision.releases.map(({ holder: { heldBytes }, reason }) => `${reason} ${heldBytes / kibibyte}`)
    : decision.kind;
}

const large = { heldBytes: 512 * kibibyte };

vitest.describe('decideMemory', () => {
  vitest.test('grants what is free (guards against needless refusals)', () => {
    vitest.expect(decide({}, 64, [holder('a', 500, 60_000)])).toEqual([]);
  });

  vitest.test('releases first who holds most for longest (guards against losses of small clients)', () => {
    const holders = [holder('a', 300, 1_000), holder('b', 400, 2_000), holder('c', 10, 3_000)];
    vitest.expect(decide(large, 0, holders)).toEqual(['stalled 400']);
    vitest
      .expect(decide({ ...large, neededBytes: 400 * kibibyte }, 0, holders))
      .toEqual(['stalled 400', 'stalled 300']);
  });

  vitest.test(
    'pauses a large body while others make progress, and refuses it later (guards against endless waits)',
    () => {
      const holders = [holder('a', 500, 100)];
      vitest.expect(decide(large, 0, holders)).toBe('pause');
      vitest.expect(decide({ ...large, waitedMs: 2_000 }, 0, holders)).toBe('refuse');
    },
  );

  vitest.test(
    'lets an ordinary client displace a large one that makes progress (guards against refused ordinary clients)',
    () => {
      vitest.expect(decide({}, 0, [holder('a', 500, 100), holder('b', 60, 100)])).toEqual(['tooLarge 500']);
      vitest.expect(decide({}, 0, [holder('b', 60, 100)])).toBe('pause');
    },
  );

  vitest.test('keeps an eighth for ordinary clients (guards against a budget used up by large bodies)', () => {
    vitest.expect(decide(large, 180, [])).toBe('pause');
    vitest.expect(decide({}, 180, [])).toEqual([]);
  });

  vitest.test('releases no request in service (guards against requests that are broken while they run)', () => {
    vitest.expect(decide({}, 0, [holder('a', 1_024, 60_000, false)])).toBe('pause');
  });
});
