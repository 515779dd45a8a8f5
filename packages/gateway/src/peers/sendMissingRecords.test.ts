import * as vitest from 'vitest';
import { TableState } from '../replicas/TableState.js';
import { sendMissingRecords } from './sendMissingRecords.js';

const records = [
  { key: 'a', offset: 1, value: 'x' },
  { key: 'b', offset: 2, value: 'y' },
];

function sentMessages(known: number): unknown[] {
  const state = new TableState();
  state.applyTable({ records, end: 3 });
  const sent: unknown[] = [];
  const channel = { send: (_method: string, params: unknown) => sent.push(params) };
  sendMissingRecords(channel, 'replicas', state, { configuration: 0, replicas: known });
  return sent;
}

vitest.describe('what a peer that joins is told', () => {
  vitest.test('is only what it lacks (guards against a small link that whole tables fill)', () => {
    vitest.expect(sentMessages(3)).toEqual([{ table: 'replicas', records: [], end: 3, whole: false }]);
    vitest.expect(sentMessages(2)).toEqual([{ table: 'replicas', records: [records[1]], end: 3, whole: false }]);
  });

  vitest.test(
    'is the whole table if it has read nothing (guards against a daemon that is cut off from its start)',
    () => {
      vitest.expect(sentMessages(0)).toEqual([{ table: 'replicas', records, end: 3, whole: true }]);
    },
  );
});
