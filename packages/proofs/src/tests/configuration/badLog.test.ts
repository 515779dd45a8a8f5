import * as standins from '@jayhaven/standins';
import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import { agreedConfiguration, configurationInLog, historyAt } from './support.js';

const daemonCount = 3;
const seeds = [11, 12, 13];
/** Short, so that edits time out while appends stall. */
const logTimeoutMs = 1000;

interface SentEdit {
  readonly key: string;
  readonly value: number;
  readonly status: number;
  readonly state?: string;
  readonly version?: number;
}

/** Log faults in the order in which they are injected; the last entry clears them. */
function createLogFaults(
  random: standins.RandomSource,
): readonly { readonly body: object; readonly durationMs: number }[] {
  return [
    { body: { loseAcknowledgements: 0.3 + random.next() * 0.4 }, durationMs: 1500 },
    { body: { loseAcknowledgements: 0, appendDelayMs: 200 + random.next() * 300 }, durationMs: 1000 },
    { body: { appendDelayMs: 0, stallAppends: true }, durationMs: 1500 + random.next() * 500 },
    { body: { stallAppends: false, loseAcknowledgements: 2 }, durationMs: 500 },
    { body: { outage: true }, durationMs: 500 + random.next() * 1000 },
    { body: { outage: false, loseAcknowledgements: 0 }, durationMs: 1500 },
  ];
}

/** Repeatedly edits one of two keys at one daemon until stopped. */
async function editRepeatedly(
  cluster: harness.Cluster,
  index: number,
  random: standins.RandomSource,
  isStopped: () => boolean,
): Promise<readonly SentEdit[]> {
  const sent: SentEdit[] = [];
  const operator = cluster.operator('solano', index);
  for (let count = 0; !isStopped(); count += 1) {
    const key = random.next() < 0.5 ? 'solano/defaults/queueLimit' : 'solano/defaults/requestsPerReplica';
    // Values are unique across daemons, so that a value identifies its edit.
    const value = (index + 1) * 10_000 + count;
    const current = await operator.value(key);
    const { status, body } = await operator.edit(key, value, current?.version ?? null);
    const { state, version } = body as { readonly state?: string; readonly version?: number };
    sent.push({ key, value, status, ...(state === undefined ? {} : { state }), ...(version ? { version } : {}) });
    await harness.delay(10 + random.next() * 40);
  }
  return sent;
}

vitest.describe('edits while the log loses, delays, stalls and refuses appends', () => {
  vitest.test.each(seeds)(
    'the answer to an edit matches the final history, seed %i (guards P9 and the correctness of refusals)',
    async (seed) => {
      const cluster = await harness.Cluster.start({
        ...{ daemons: daemonCount, seed, settings: { platform: { log_timeout_ms: logTimeoutMs } } },
      });
      try {
        const random = new standins.RandomSource(seed);
        let stopped = false;
        const editing = cluster.daemons.map((_daemon, index) =>
          editRepeatedly(cluster, index, new standins.RandomSource(seed * 10 + index), () => stopped),
        );
        for (const { body, durationMs } of createLogFaults(random)) {
          await cluster.log.control(body);
          await harness.delay(durationMs);
        }
        stopped = true;
        const sent = (await Promise.all(editing)).flat();
        const agreed = await agreedConfiguration(cluster, 10_000);
        const histories = await Promise.all(cluster.daemons.map((_daemon, index) => historyAt(cluster, index)));
        const [history = []] = histories;
        vitest.expect(histories.every((other) => JSON.stringify(other) === JSON.stringify(history))).toBe(true);
        const accepted = history.filter((line) => line.state === 'accepted');
        const isAccepted = (edit: SentEdit): boolean => accepted.some((line) => line.value === edit.value);

        const report = `${cluster.errorOutput(3000)}\n${JSON.stringify(sent)}`;
        const answeredAccepted = sent.filter((edit) => edit.status === 200);
        const answeredRefused = sent.filter((edit) => edit.status >= 400);
        const unconfirmed = sent.filter((edit) => edit.status < 200 || edit.status === 202);
        vitest
          .expect(
            answeredAccepted.filter((edit) => !isAccepted(edit)),
            report,
          )
          .toEqual([]);
        vitest.expect(answeredRefused.filter(isAccepted), report).toEqual([]);
        // No value is accepted twice; a retried append could cause that.
        vitest.expect(new Set(accepted.map((line) => line.value)).size).toBe(accepted.length);
        vitest
          .expect(
            answeredRefused.filter((edit) => ![409, 503].includes(edit.status)),
            report,
          )
          .toEqual([]);
        // Every fault affected some edits: some were accepted, refused in the outage, or unconfirmed in the stall.
        vitest.expect(answeredAccepted.length).toBeGreaterThan(10);
        vitest.expect(answeredRefused.some((edit) => edit.status === 503)).toBe(true);
        vitest.expect(unconfirmed.length).toBeGreaterThan(0);
        vitest
          .expect(
            unconfirmed.every((edit) => edit.state === 'unconfirmed'),
            report,
          )
          .toBe(true);
        vitest.expect(agreed).toEqual(await configurationInLog(cluster));
        for (const { key, value } of agreed) {
          vitest.expect(accepted.findLast((line) => line.key === key)?.value).toBe(value);
        }
      } finally {
        await cluster[Symbol.asyncDispose]();
      }
    },
  );
});
