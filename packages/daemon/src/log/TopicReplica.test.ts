import * as common from '@jayhaven/common';
import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import { FakeLog } from './testing/FakeLogClient.js';
import { openNumberReplica, peerSourceOf, topicName, type NumberReplica } from './testing/replicas.js';
import { until } from './testing/support.js';
import type { StateImage } from './Types.js';

vitest.describe('TopicReplica', () => {
  let closing: common.DisposalRegistry;
  let log: FakeLog;

  vitest.beforeEach(() => {
    closing = new common.DisposalRegistry();
    log = new FakeLog();
  });

  vitest.afterEach(async () => {
    await closing[Symbol.asyncDispose]();
  });

  function open(name: string, peer?: () => NumberReplica | undefined): ReturnType<typeof openNumberReplica> {
    const opened = openNumberReplica(log, name, peer && peerSourceOf(peer));
    closing.register(opened.replica);
    return opened;
  }

  vitest.test(
    'resolves an append only after replay (guards against a claim that is reported before read-back)',
    async () => {
      const { replica } = open('a');
      const accepted = await replica.append({ value: 7 }, 1000);
      vitest.expect(accepted).toEqual({ ok: true, value: { offset: 0, verdict: { kind: 'accepted' } } });
      vitest.expect(replica.state.values).toEqual([7]);
      const rejected = await replica.append({ value: -1 }, 1000);
      vitest.expect(rejected.ok && rejected.value.verdict.kind).toBe('rejected');
    },
  );

  vitest.test('reports a malformed record as rejected (guards against an edit that hangs)', async () => {
    const { replica } = open('a');
    const outcome = await replica.append({ value: Number.NaN }, 1000);
    vitest.expect(outcome).toMatchObject({ ok: true, value: { verdict: { kind: 'rejected', rule: 'invalidRecord' } } });
    vitest.expect((await replica.append({ value: 1 }, 1000)).ok).toBe(true);
  });

  vitest.test('a burst goes into few appends in order (guards against one append per record)', async () => {
    const { replica } = open('a');
    const values = Array.from({ length: 1500 }, (_none, index) => index);
    const outcomes = await Promise.all(values.map((value) => replica.append({ value }, 5000)));
    vitest.expect(outcomes.every((outcome) => outcome.ok)).toBe(true);
    vitest.expect(replica.state.values).toEqual(values);
    vitest.expect(log.appliedAppends).toBeLessThanOrEqual(4);
  });

  vitest.test('refuses more than its queue holds (guards against memory growth in an outage)', async () => {
    const { replica } = open('a');
    const outcomes = await Promise.all(Array.from({ length: 2100 }, (_none, value) => replica.append({ value }, 5000)));
    const refused = outcomes.filter((outcome) => !outcome.ok && outcome.failure.kind === 'logUnavailable');
    vitest.expect(refused).toHaveLength(100);
    vitest.expect(replica.state.values).toHaveLength(2000);
  });

  vitest.test(
    'an append with a lost acknowledgement takes effect once (guards against a duplicate decision)',
    async () => {
      const { replica } = open('a');
      log.faults.loseAcknowledgements = true;
      log.faults.duplicate = true;
      const outcome = await replica.append({ value: 1 }, 2000);
      vitest.expect(outcome.ok).toBe(true);
      vitest.expect(replica.state.values).toEqual([1]);
    },
  );

  vitest.test(
    'an append that timed out is unconfirmed and may take effect (guards against a false failure)',
    async () => {
      const { replica } = open('a');
      log.faults.applyLateMs = 400;
      const outcome = await replica.append({ value: 1 }, 150);
      vitest.expect(outcome.ok ? '' : outcome.failure.kind).toBe('unconfirmed');
      log.faults.applyLateMs = 0;
      await until('the late append takes effect', () => replica.state.values.length === 1);
    },
  );

  vitest.test('fails at once while the log is known to be down (guards against waiting for the timeout)', async () => {
    const { replica } = open('a');
    await replica.append({ value: 1 }, 1000);
    log.faults.down = true;
    log.apply('other', [0]);
    await until('the outage is detected', () => !replica.isLogAvailable, 5000);
    const startedMs = performance.now();
    const outcome = await replica.append({ value: 2 }, 5000);
    vitest.expect(performance.now() - startedMs).toBeLessThan(20);
    vitest.expect(outcome).toMatchObject({ ok: false, failure: { kind: 'logUnavailable' } });
    log.faults.down = false;
    await until('the log is available again', () => replica.isLogAvailable, 5000);
    vitest.expect((await replica.append({ value: 3 }, 3000)).ok).toBe(true);
    vitest.expect(replica.state.values).toEqual([1, 3]);
  });

  vitest.test('keeps one append in flight when callers time out (guards against appends that accumulate)', async () => {
    const { replica } = open('a');
    await replica.append({ value: 1 }, 1000);
    log.faults.appendDelayMs = 250;
    const early = replica.append({ value: 2 }, 60);
    await new Promise((resolve) => setTimeout(resolve, 100));
    log.apply('numbers', [
      { id: { incarnation: 'b', sequence: 1 }, clock: { wallMs: 0, counter: 0 }, body: { value: 9 } },
    ]);
    const late = replica.append({ value: 3 }, 2000);
    await new Promise((resolve) => setTimeout(resolve, 100));
    vitest.expect(log.startedAppends).toBe(2);
    vitest.expect((await early).ok).toBe(false);
    vitest.expect((await late).ok).toBe(true);
  });

  vitest.test('detects a log that hangs (guards against appends that wait for their full timeout)', async () => {
    const { replica } = open('a');
    await replica.append({ value: 1 }, 1000);
    log.faults.hanging = true;
    await until('the outage is detected', () => !replica.isLogAvailable, 4000);
    vitest.expect(await replica.append({ value: 2 }, 5000)).toMatchObject({ failure: { kind: 'logUnavailable' } });
  });

  vitest.test(
    'receives records from a peer while it is cut off from the log (guards against an edit that does not arrive)',
    async () => {
      const { replica: first } = open('a');
      const { replica: second, client } = open('b', () => first);
      await first.append({ value: 1 }, 1000);
      await until('both have the record', () => second.nextOffset === 1);
      client.cutOff = true;
      const startedMs = performance.now();
      await first.append({ value: 2 }, 1000);
      await until('the peer has sent the record', () => second.state.values.length === 2, 3000);
      vitest.expect(performance.now() - startedMs).toBeLessThan(3000);
      vitest.expect(second.source).toBe('peers');
    },
  );

  vitest.test('starts from a snapshot and the tail (guards against configuration lost by retention)', async () => {
    const { replica: first } = open('a');
    await first.append({ value: 1 }, 1000);
    await first.append({ value: 2 }, 1000);
    vitest.expect(await first.writeSnapshot()).toBe(true);
    await first.append({ value: 3 }, 1000);
    log.dropBefore(topicName, 2);
    const { replica: second } = open('b');
    await until('the state is complete', () => second.state.values.length === 3);
    vitest.expect(second.state.values).toEqual([1, 2, 3]);
  });

  vitest.test('recovers from a gap with a newer snapshot (guards against a wrong state)', async () => {
    const { replica: first } = open('a');
    const { replica: second, client } = open('b');
    await first.append({ value: 1 }, 1000);
    await until('both have the first record', () => second.nextOffset === 1);
    client.cutOff = true;
    for (const value of [2, 3, 4]) {
      await first.append({ value }, 1000);
    }
    log.dropBefore(topicName, 3);
    client.cutOff = false;
    await new Promise((resolve) => setTimeout(resolve, 300));
    vitest.expect(second.state.values).toEqual([1]);
    await first.writeSnapshot();
    await until('the snapshot is found', () => second.state.values.length === 4, 5000);
    vitest.expect(second.state.values).toEqual([1, 2, 3, 4]);
  });

  vitest.test('says that it catches up while records are missing (guards against edits on a stale state)', async () => {
    const { replica: first } = open('a');
    let resolveImage: (image: StateImage) => void = () => undefined;
    const image = new Promise<StateImage>((resolve) => (resolveImage = resolve));
    const { replica: second, client } = openNumberReplica(log, 'b', {
      ...peerSourceOf(() => undefined),
      state: () => image,
    });
    closing.register(second);
    await first.append({ value: 1 }, 1000);
    await until('both have the first record', () => second.nextOffset === 1);
    vitest.expect(second.isCatchingUp).toBe(false);
    client.cutOff = true;
    await first.append({ value: 2 }, 1000);
    await first.append({ value: 3 }, 1000);
    log.dropBefore(topicName, 2);
    client.cutOff = false;
    await until('the state is being looked for', () => second.isCatchingUp);
    resolveImage(first.image());
    await until('the state is complete', () => second.nextOffset === 3 && !second.isCatchingUp);
  });

  vitest.test('a replica that starts in an outage fetches a full state from a peer', async () => {
    const { replica: first } = open('a');
    await first.append({ value: 1 }, 1000);
    log.faults.down = true;
    const { replica: second } = open('b', () => first);
    await until('the state has been received from the peer', () => second.nextOffset === 1);
    vitest.expect(second.state.values).toEqual([1]);
  });

  vitest.test('never goes back to a lower offset (guards against an edit that reverts)', async () => {
    const { replica: first } = open('a');
    await first.append({ value: 1 }, 1000);
    await first.writeSnapshot();
    await first.append({ value: 2 }, 1000);
    const { replica: second } = open('b', () => first);
    await until('the second replica is current', () => second.nextOffset === 2);
    // All records are dropped, so the second replica looks for a full state and finds only the old snapshot.
    log.dropBefore(topicName, 5);
    await new Promise((resolve) => setTimeout(resolve, 1500));
    vitest.expect(second.nextOffset).toBe(2);
    vitest.expect(second.state.values).toEqual([1, 2]);
  });

  vitest.test(
    'all replicas agree under random faults, and each outcome is correct (guards against P5 and P9)',
    async () => {
      const fault = fastCheck.constantFrom('none', 'down', 'lost', 'duplicate', 'late', 'slow');
      await fastCheck.assert(
        fastCheck.asyncProperty(fastCheck.array(fault, { minLength: 2, maxLength: 8 }), async (schedule) => {
          const shared = new FakeLog();
          const replicas = ['a', 'b'].map((name) => openNumberReplica(shared, name).replica);
          const outcomes = new Map<number, string>();
          let value = 0;
          const pending: Promise<void>[] = [];
          for (const kind of schedule) {
            Object.assign(shared.faults, {
              down: kind === 'down',
              loseAcknowledgements: kind === 'lost',
              duplicate: kind === 'duplicate',
              applyLateMs: kind === 'late' ? 60 : 0,
              delayMs: kind === 'slow' ? 20 : 0,
            });
            for (const replica of replicas) {
              const own = (value += 1);
              const appended = replica.append({ value: own }, 120);
              pending.push(
                appended.then((outcome) => void outcomes.set(own, outcome.ok ? 'ok' : outcome.failure.kind)),
              );
            }
            await new Promise((resolve) => setTimeout(resolve, 30));
          }
          await Promise.all(pending);
          Object.assign(shared.faults, { down: false, loseAcknowledgements: false, applyLateMs: 0, delayMs: 0 });
          await new Promise((resolve) => setTimeout(resolve, 70));
          const end = shared.topic(topicName).records.length;
          await Promise.all(replicas.map((replica) => replica.waitFor(end, 3000)));
          const [first, second] = replicas.map((replica) => replica.state.values);
          await Promise.all(replicas.map((replica) => replica[Symbol.asyncDispose]()));
          vitest.expect(first).toEqual(second);
          vitest.expect(new Set(first).size).toBe(first?.length);
          for (const [own, outcome] of outcomes) {
            if (outcome !== 'unconfirmed') {
              vitest.expect(first?.includes(own), `${own} ${outcome}`).toBe(outcome === 'ok');
            }
          }
        }),
        { numRuns: 25 },
      );
    },
  );
});
