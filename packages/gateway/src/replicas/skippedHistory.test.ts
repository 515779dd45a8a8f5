import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { sendMissingRecords } from '../peers/sendMissingRecords.js';
import type { TableMessage } from '../peers/Types.js';
import { FakeTopic } from '../testing/FakeTopic.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import type { Replica } from '../Types.js';
import { ReplicaOrder } from './ReplicaOrder.js';
import { TableState } from './TableState.js';

const order = new ReplicaOrder({ decodeReplica: (_id, text) => JSON.parse(text) as Replica });
const daemonCount = 3;

const steps = fastCheck.array(
  fastCheck.record({
    kind: fastCheck.constantFrom('write', 'remove', 'readTable', 'readChanges', 'follow'),
    key: fastCheck.constantFrom('r0', 'r1', 'r2'),
    daemon: fastCheck.nat(daemonCount - 1),
    other: fastCheck.nat(daemonCount - 1),
  }),
  { minLength: 30, maxLength: 60 },
);

function keysOf(state: TableState): readonly string[] {
  return state
    .records()
    .map(({ key }) => key)
    .sort();
}

/** One daemon follows another, which has read at least as much. */
function follow(follower: TableState, followed: TableState): void {
  const { era, offset } = follower.position;
  const known = { configuration: 0, replicas: offset, eras: { configuration: era, replicas: era } };
  const channel = {
    send: (_method: string, params: unknown) => {
      const { records, end, whole, presentKeys } = params as TableMessage;
      const table = { records, end, era: followed.position.era };
      if (whole) follower.applyTable(table);
      else follower.applyPeerChanges(table, presentKeys);
    },
  };
  sendMissingRecords(channel, 'replicas', followed, known, 0);
}

vitest.describe('a daemon that follows another one', () => {
  vitest.test(
    'has the same replicas, whichever changes the other one has skipped (guards against replicas that have left)',
    () => {
      fastCheck.assert(
        fastCheck.property(steps, (schedule) => {
          const topic = new FakeTopic();
          const daemons = Array.from({ length: daemonCount }, () => new TableState(order));
          for (const { kind, key, daemon, other } of schedule) {
            const state = daemons[daemon];
            const peer = daemons[other];
            if (kind === 'write') topic.write(key, JSON.stringify(sampleReplica({ id: key })));
            else if (kind === 'remove') topic.write(key);
            else if (state === undefined || peer === undefined) continue;
            else if (kind === 'readTable') state.applyTable(topic.readTable());
            else if (kind === 'readChanges' && state.position.offset > 0) {
              state.applyChanges(topic.readChanges(state.position) ?? topic.readTable());
            } else if (kind === 'follow' && peer.position.offset >= Math.max(state.position.offset, 1)) {
              follow(state, peer);
              vitest.expect(keysOf(state)).toEqual(keysOf(peer));
            }
          }
        }),
        { numRuns: 5_000 },
      );
    },
  );
});
