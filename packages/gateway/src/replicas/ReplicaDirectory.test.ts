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
        vitest.expect(directory.apply([record(sampleReplica(), 1)], 0, 0).length).toBe(1);
        vitest.expect(directory.apply([record(sampleReplica(change), 2)], 0, 0).length, JSON.stringify(change)).toBe(1);
      }
    },
  );

  vitest.test('leaves out records that change only models (guards against traffic that no peer needs)', () => {
    const directory = openDirectory();
    directory.apply([record(sampleReplica(), 1)], 0, 0);
    const announced = sampleReplica({ models: [{ name: 'm', adapters: [] }], onDisk: ['m'], orderSequence: 3 });
    vitest.expect(directory.apply([record(announced, 2)], 0, 0)).toEqual([]);
    vitest.expect(directory.get('r1')?.onDisk).toEqual(['m']);
  });

  vitest.test(
    'returns the record of a replica that was removed and restored (guards against peers that drop it)',
    () => {
      const directory = openDirectory();
      directory.apply([record(sampleReplica(), 1)], 0, 0);
      vitest.expect(directory.apply([record(undefined, 2)], 0, graceMs).length).toBe(1);
      vitest.expect(directory.apply([record(sampleReplica(), 3)], graceMs / 2, graceMs).length).toBe(1);
      directory.dropExpired(2 * graceMs);
      vitest.expect(directory.get('r1')).toBeDefined();
    },
  );
});
