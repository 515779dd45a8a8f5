import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { sendMissingRecords } from '../peers/sendMissingRecords.js';
import type { TableMessage } from '../peers/Types.js';
import { FakeTopic } from '../testing/FakeTopic.js';
import { sampleReplica } from '../testing/sampleReplica.js';
import { silentLogger } from '../testing/SilentLogger.js';
import type { Configuration, Replica } from '../Types.js';
import { ConfigurationOrder } from './ConfigurationOrder.js';
import type { RecordOrder } from './RecordOrder.js';
import { ReplicaOrder } from './ReplicaOrder.js';
import { TableState } from './TableState.js';

const byVersion = new ConfigurationOrder(
  { decodeConfiguration: (text) => ({ version: Number(text) }) as Configuration },
  silentLogger,
);
const byState = new ReplicaOrder({ decodeReplica: (_id, text) => JSON.parse(text) as Replica });

function readStore(state: TableState, topic: FakeTopic): void {
  const changes = topic.readChanges(state.position);
  if (state.position.offset > 0 && changes !== undefined) {
    state.applyChanges(changes);
  } else {
    state.applyTable(topic.readTable());
  }
}

/** One daemon follows another: says how far it has read, and applies what it gets. */
function follow(follower: TableState, followed: TableState): void {
  const { era, offset } = follower.position;
  const known = { configuration: offset, replicas: 0, eras: { configuration: era, replicas: 0 } };
  const messages: TableMessage[] = [];
  const channel = { send: (_method: string, message: unknown) => messages.push(message as TableMessage) };
  sendMissingRecords(channel, 'configuration', followed, known, 0);
  for (const message of messages) {
    const records = { ...message, era: message.era ?? 0 };
    if (message.whole) follower.applyTable(records);
    else follower.applyPeerChanges(records, message.presentKeys);
  }
}

const steps = fastCheck.array(
  fastCheck.record({
    kind: fastCheck.constantFrom('write', 'repeat', 'copy', 'restore', 'read', 'follow'),
    daemon: fastCheck.nat(2),
    other: fastCheck.nat(2),
  }),
  { maxLength: 60 },
);

function newestOf(state: TableState | undefined): number {
  return Number(state?.records()[0]?.value ?? 0);
}

function states(order: RecordOrder): readonly TableState[] {
  return [0, 1, 2].map(() => new TableState(order));
}

vitest.describe('tables of a store that is restored from copies', () => {
  vitest.test(
    'never take a configuration back, and end with the newest (guards against undone confirmed changes)',
    () => {
      fastCheck.assert(
        fastCheck.property(steps, (schedule) => {
          const topic = new FakeTopic();
          const daemons = states(byVersion);
          let version = 1;
          topic.write('config', '1');
          for (const { kind, daemon, other } of schedule) {
            const before = daemons.map(newestOf);
            const state = daemons[daemon];
            const peer = daemons[other];
            if (kind === 'write') topic.write('config', String((version += 3)));
            else if (kind === 'repeat') topic.write('config', String(version));
            else if (kind === 'copy') topic.copy();
            else if (kind === 'restore') topic.restore();
            else if (kind === 'read' && state) readStore(state, topic);
            else if (kind === 'follow' && state && peer && peer !== state) follow(state, peer);
            daemons.forEach((one, index) => {
              vitest.expect(newestOf(one)).toBeGreaterThanOrEqual(before[index] ?? 0);
            });
          }
          topic.write('config', String(version));
          for (const state of daemons) {
            readStore(state, topic);
            vitest.expect(newestOf(state)).toBe(version);
          }
        }),
        { numRuns: 500 },
      );
    },
  );

  vitest.test(
    'end as the store does once it has been written again (guards against records hidden by old offsets)',
    () => {
      fastCheck.assert(
        fastCheck.property(steps, fastCheck.array(fastCheck.nat(3)), (schedule, keys) => {
          const topic = new FakeTopic();
          const daemons = states(byState);
          const nextKey = keys[Symbol.iterator]();
          let sequence = 0;
          const write = (): void => {
            const id = `r${nextKey.next().value ?? 0}`;
            const replica = JSON.stringify(sampleReplica({ id, orderSequence: (sequence += 1) }));
            topic.write(id, sequence % 5 === 0 ? undefined : replica);
          };
          for (const { kind, daemon, other } of schedule) {
            const state = daemons[daemon];
            const peer = daemons[other];
            if (kind === 'write' || kind === 'repeat') write();
            else if (kind === 'copy') topic.copy();
            else if (kind === 'restore') topic.restore();
            else if (kind === 'read' && state) readStore(state, topic);
            else if (state && peer && peer !== state) follow(state, peer);
          }
          for (const id of ['r0', 'r1', 'r2', 'r3']) {
            topic.write(id, JSON.stringify(sampleReplica({ id, orderSequence: (sequence += 1) })));
          }
          for (const state of daemons) {
            readStore(state, topic);
            const values = Object.fromEntries(state.records().map(({ key, value }) => [key, value]));
            for (const id of ['r0', 'r1', 'r2', 'r3']) vitest.expect(values[id]).toBe(topic.newest(id));
          }
        }),
        { numRuns: 500 },
      );
    },
  );

  vitest.test('keep a leaving replica leaving while the copy shows it ready (guards against requests to it)', () => {
    const topic = new FakeTopic();
    const [state, late] = states(byState);
    topic.write('r1', JSON.stringify(sampleReplica()));
    topic.copy();
    topic.write('r1', JSON.stringify(sampleReplica({ state: 'draining' })));
    if (state === undefined || late === undefined) throw new Error('no state');
    readStore(state, topic);
    topic.restore();
    readStore(state, topic);
    vitest.expect(JSON.parse(state.records()[0]?.value ?? '')).toMatchObject({ state: 'draining' });
    readStore(late, topic);
    follow(late, state);
    vitest.expect(JSON.parse(late.records()[0]?.value ?? '')).toMatchObject({ state: 'draining' });
  });

  vitest.test('ignore what a peer sends of an earlier era (guards against replicas that have left)', () => {
    const state = new TableState(byState);
    const value = JSON.stringify(sampleReplica());
    state.applyTable({ records: [{ key: 'r2', offset: 0, value }], end: 1, era: 2 });
    vitest.expect(state.applyChanges({ records: [{ key: 'r1', offset: 8, value }], end: 9, era: 1 })).toEqual([]);
    vitest.expect(state.records().map(({ key }) => key)).toEqual(['r2']);
  });

  vitest.test('advance only within their era (guards against records that are skipped)', () => {
    const state = new TableState(byState);
    state.applyTable({ records: [], end: 3, era: 2 });
    state.advanceTo({ era: 1, offset: 9 });
    state.advanceTo({ era: 3, offset: 9 });
    vitest.expect(state.position).toEqual({ era: 2, offset: 3 });
    state.advanceTo({ era: 2, offset: 4 });
    vitest.expect(state.position).toEqual({ era: 2, offset: 4 });
  });
});
