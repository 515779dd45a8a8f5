import * as vitest from 'vitest';
import { TableState } from '../replicas/TableState.js';
import { sendMissingRecords } from './sendMissingRecords.js';

const records = [
  { key: 'a', offset: 1, value: 'x' },
  { key: 'b', offset: 2, value: 'y' },
];

function sentMessages(readOffset: number): unknown[] {
  const state = new TableState();
  state.applyTable({ records, end: 3 });
  const sent: unknown[] = [];
  const channel = { send: (_method: string, params: unknown) => sent.push(params) };
  sendMissingRecords(channel, 'replicas', state, { configuration: 0, replicas: readOffset });
  return sent;
}

vitest.describe('records sent to a peer that joins', () => {
  vitest.test('are only those that it lacks (guards against full tables that saturate a slow link)', () => {
    vitest.expect(sentMessages(3)).toEqual([{ table: 'replicas', records: [], end: 3, whole: false }]);
    vitest.expect(sentMessages(2)).toEqual([{ table: 'replicas', records: [records[1]], end: 3, whole: false }]);
  });

  vitest.test(
    'are the full table if it has read nothing (guards against a daemon that has been cut off since its start)',
    () => {
      vitest.expect(sentMessages(0)).toEqual([{ table: 'replicas', records, end: 3, whole: true }]);
    },
  );
});
