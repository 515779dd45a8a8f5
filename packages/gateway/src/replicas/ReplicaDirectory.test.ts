import * as vitest from 'vitest';
import type { TableRecord } from '../contracts/MetadataStore.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import { silentLogger } from '../testing/SilentLogger.js';
import type { Replica } from '../Types.js';
import { ReplicaDirectory } from './ReplicaDirectory.js';

const graceMs = 1_000;

function record(value: Replica | undefined, offset: number): TableRecord {
  return { key: 'r1', offset, ...(value !== undefined && { value: JSON.stringify(value) }) };
}

function openDirectory(): ReplicaDirectory {
  return new ReplicaDirectory((_id, text) => JSON.parse(text) as Replica, silentLogger);
}

vitest.describe('replica directory', () => {
  vitest.test(
    'returns records that change how a replica is used (guards against requests to a leaving replica)',
    () => {
      const changes: Partial<Replica>[] = [
        { state: 'draining' },
        { bornMs: 2 },
        { service: 'other' },
        { address: { host: '10.0.0.2', port: 80 } },
        { slots: 8 },
      ];
      for (const change of changes) {
        const directory = openDirectory();
        vitest
          .expect(
            directory.apply([record(sampleReplica(), 1)], { nowMs: 0, source: 'store', removalGraceMs: 0 }).length,
          )
          .toBe(1);
        vitest
          .expect(
            directory.apply([record(sampleReplica(change), 2)], { nowMs: 0, source: 'store', removalGraceMs: 0 })
              .length,
            JSON.stringify(change),
          )
          .toBe(1);
      }
    },
  );

  vitest.test('leaves out records that change only models (guards against traffic that no peer needs)', () => {
    const directory = openDirectory();
    directory.apply([record(sampleReplica(), 1)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
    const announced = sampleReplica({ models: [{ name: 'm', adapters: [] }], onDisk: ['m'], orderSequence: 3 });
    vitest
      .expect(directory.apply([record(announced, 2)], { nowMs: 0, source: 'store', removalGraceMs: 0 }))
      .toEqual([]);
    vitest.expect(directory.get('r1')?.onDisk).toEqual(['m']);
  });

  vitest.test(
    'returns the record of a replica that was removed and restored (guards against peers that drop it)',
    () => {
      const directory = openDirectory();
      directory.apply([record(sampleReplica(), 1)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
      vitest
        .expect(directory.apply([record(undefined, 2)], { nowMs: 0, source: 'store', removalGraceMs: graceMs }).length)
        .toBe(1);
      vitest
        .expect(
          directory.apply([record(sampleReplica(), 3)], {
            nowMs: graceMs / 2,
            source: 'store',
            removalGraceMs: graceMs,
          }).length,
        )
        .toBe(1);
      directory.expire(2 * graceMs);
      vitest.expect(directory.get('r1')).toBeDefined();
    },
  );

  vitest.test(
    'holds back a replica that has left when a restored store returns its record (guards against requests to it)',
    () => {
      const directory = openDirectory();
      directory.apply([record(sampleReplica(), 1)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
      directory.apply([record(undefined, 2)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
      directory.apply([record(sampleReplica(), 1)], {
        nowMs: 0,
        source: 'store',
        removalGraceMs: 0,
        returnDelayMs: graceMs,
      });
      vitest.expect(directory.usable('s')).toEqual([]);
      directory.expire(graceMs - 1);
      vitest.expect(directory.usable('s')).toEqual([]);
      directory.expire(graceMs);
      vitest.expect(directory.usable('s').length).toBe(1);
    },
  );

  vitest.test('uses a replica that starts anew under its id at once (guards against idle replicas)', () => {
    const directory = openDirectory();
    directory.apply([record(sampleReplica(), 1)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
    directory.apply([record(undefined, 2)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
    const restarted = record(sampleReplica({ bornMs: 2 }), 1);
    directory.apply([restarted], { nowMs: 0, source: 'store', removalGraceMs: 0, returnDelayMs: graceMs });
    vitest.expect(directory.usable('s').length).toBe(1);
  });

  vitest.test('keeps a replica leaving whatever an older record says (guards against requests late in a drain)', () => {
    const directory = openDirectory();
    directory.apply([record(sampleReplica({ state: 'draining' }), 2)], {
      nowMs: 0,
      source: 'store',
      removalGraceMs: 0,
    });
    directory.apply([record(sampleReplica(), 1)], {
      nowMs: 0,
      source: 'store',
      removalGraceMs: 0,
      returnDelayMs: graceMs,
    });
    vitest.expect(directory.usable('s')).toEqual([]);
  });

  vitest.test(
    'keeps the grace period of a removal that comes twice (guards against replicas lost to a restore)',
    () => {
      const directory = openDirectory();
      directory.apply([record(sampleReplica(), 1)], { nowMs: 0, source: 'store', removalGraceMs: 0 });
      directory.apply([record(undefined, 2)], { nowMs: 0, source: 'store', removalGraceMs: graceMs });
      vitest
        .expect(directory.apply([record(undefined, 3)], { nowMs: 1, source: 'store', removalGraceMs: 0 }))
        .toEqual([]);
      vitest.expect(directory.usable('s').length).toBe(1);
    },
  );

  vitest.test(
    'keeps a replica out of use although an earlier start of it left as well (guards against marks that peers undo)',
    () => {
      const directory = openDirectory();
      const timing = { nowMs: 0, source: 'store', removalGraceMs: 0 } as const;
      directory.apply([record(sampleReplica({ bornMs: 2 }), 1)], timing);
      vitest.expect(directory.markLeaving('r1', 2)).toBe(true);
      vitest.expect(directory.markLeaving('r1', 1)).toBe(true);
      vitest.expect(directory.markLeaving('r1', 2)).toBe(false);
      vitest.expect(directory.usable('s')).toEqual([]);
      directory.apply([record(sampleReplica({ bornMs: 3 }), 2)], timing);
      vitest.expect(directory.usable('s').length).toBe(1);
    },
  );
});
