import * as vitest from 'vitest';
import { SnapshotScheduler, type SnapshotSource } from './SnapshotScheduler.js';
import { testContext, testSettings } from './testing/support.js';

const retentionMs = 3000;

/** Counts snapshots in a topic that several schedulers share. */
class FakeTopic {
  public snapshots = 0;

  public source(change: Partial<SnapshotSource> = {}): SnapshotSource {
    return {
      isReadingFromLog: true,
      isLogAvailable: true,
      snapshotTakenAtMs: 0,
      writeSnapshot: () => {
        this.snapshots += 1;
        return Promise.resolve(true);
      },
      snapshotEndOffset: () => Promise.resolve(this.snapshots),
      ...change,
    };
  }
}

function open(source: SnapshotSource, rank: number): SnapshotScheduler {
  const { logger, now, wallNow } = testContext(testSettings('a', ''));
  return new SnapshotScheduler({ source, retentionMs, now, wallNow, rank: () => rank, logger });
}

async function run(schedulers: readonly SnapshotScheduler[], timeMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, timeMs));
  await Promise.all(schedulers.map((scheduler) => scheduler[Symbol.asyncDispose]()));
}

vitest.describe('SnapshotScheduler', () => {
  vitest.test('only the daemon at rank 0 writes (guards against one snapshot per daemon)', async () => {
    const topic = new FakeTopic();
    const schedulers = [0, 1, 2, 5].map((rank) => open(topic.source(), rank));
    await run(schedulers, 2600);
    vitest.expect(topic.snapshots).toBe(2);
  });

  vitest.test(
    'the next rank writes when rank 0 is cut off from the log (guards against loss by retention)',
    async () => {
      const topic = new FakeTopic();
      const schedulers = [open(topic.source({ isReadingFromLog: false }), 0), open(topic.source(), 1)];
      await run(schedulers, 1900);
      vitest.expect(topic.snapshots).toBe(1);
    },
  );

  vitest.test('writes right after an outage (guards against records that expire before the next one)', async () => {
    const topic = new FakeTopic();
    let reading = false;
    const source = topic.source();
    const scheduler = open(
      {
        ...source,
        get isReadingFromLog() {
          return reading;
        },
      },
      0,
    );
    setTimeout(() => {
      reading = true;
    }, 300);
    await run([scheduler], 900);
    vitest.expect(topic.snapshots).toBe(1);
  });
});
