import * as vitest from 'vitest';
import { ReplicaOrder } from '../replicas/ReplicaOrder.js';
import { TableState } from '../replicas/TableState.js';
import { sendMissingRecords } from './sendMissingRecords.js';

const records = [
  { key: 'a', offset: 1, value: 'x' },
  { key: 'b', offset: 2, value: 'y' },
];

/** Grace period that the sender states, milliseconds. */
const removalGraceMs = 300;

function sentMessages(readOffset: number, era = 2): unknown[] {
  const state = new TableState(new ReplicaOrder({ decodeReplica: () => undefined }));
  state.applyTable({ records: records.slice(0, 1), end: 2, era: 2 });
  state.applyChanges({ records: records.slice(1), end: 3, era: 2 });
  const sent: unknown[] = [];
  const channel = { send: (_method: string, params: unknown) => sent.push(params) };
  const known = { configuration: 0, replicas: readOffset, eras: { configuration: era, replicas: era } };
  sendMissingRecords(channel, 'replicas', state, known, removalGraceMs);
  return sent;
}

vitest.describe('records sent to a peer that joins', () => {
  vitest.test('are only those that it lacks (guards against full tables that saturate a slow link)', () => {
    vitest
      .expect(sentMessages(3))
      .toEqual([{ table: 'replicas', records: [], end: 3, whole: false, era: 2, removalGraceMs }]);
    vitest
      .expect(sentMessages(2))
      .toEqual([{ table: 'replicas', records: [records[1]], end: 3, whole: false, era: 2, removalGraceMs }]);
  });

  vitest.test(
    'come with the keys of all records if a removal since then may be unknown (guards against replicas that have left)',
    () => {
      vitest.expect(sentMessages(1)).toMatchObject([{ records, end: 3, whole: false, presentKeys: ['a', 'b'] }]);
    },
  );

  vitest.test(
    'are the full table if it has read nothing (guards against a daemon that has been cut off since its start)',
    () => {
      vitest
        .expect(sentMessages(0))
        .toEqual([{ table: 'replicas', records, end: 3, whole: true, era: 2, removalGraceMs }]);
    },
  );

  vitest.test(
    'are none if it has read another era, nor is it told that it has caught up (guards against skipped offsets)',
    () => {
      vitest.expect(sentMessages(2, 1)).toEqual([{ table: 'replicas', records: [], end: 0, whole: false, era: 2 }]);
    },
  );
});
