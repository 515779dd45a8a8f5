import * as vitest from 'vitest';
import type { ReplicaScript } from '../testing/ExchangeFixture.js';
import { notExecutedHead, signedAnswer } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';
import { SendLog, type SendRecord } from './SendLog.js';

const stream = { kind: 'stream', resumable: false } as const;
const refusal = `${notExecutedHead}Content-Length: 0\r\n\r\n`;
const toModel = { headers: { 'x-model': 'm' } };

vitest.describe('the log line of a request', () => {
  vitest.test('tells on what each refusal is based (guards against reports that nobody can trace)', async () => {
    const unstated = signedAnswer.replace('200 OK', '503 Full');
    const other = refusal.replace('503 Full', '421 Other');
    for (const [answer, status, statement] of [
      [refusal, 503, 'notExecuted'],
      [other, 421, 'otherReplica'],
      [unstated, 503, 'none'],
    ] as const) {
      const script: ReplicaScript = (socket) => socket.write(answer);
      await withReplicas(stream, [script], async (fixture) => {
        fixture.retrySlack = 0;
        await fixture.call();
        const [first] = fixture.requestLines.at(-1)?.sends as readonly SendRecord[];
        vitest
          .expect(first)
          .toEqual({ replica: 'r0', expectedRunning: 0, slowness: 1, connection: 'new', status, statement });
      });
    }
  });

  vitest.test('tells kept connections, foreign answers and unreachable replicas', async () => {
    const script: ReplicaScript = (socket, head) =>
      socket.write(head.includes('/p/foreign') ? signedAnswer.replace('a1', 'a0') : signedAnswer);
    await withReplicas(stream, [script], async (fixture) => {
      await fixture.call(toModel);
      vitest.expect(fixture.requestLines.at(-1)?.sends).toBeUndefined();
      await fixture.call({ ...toModel, path: '/p/foreign' });
      vitest
        .expect(fixture.requestLines.at(-1)?.sends)
        .toEqual([{ replica: 'r0', expectedRunning: 0, slowness: 1, connection: 'kept', failure: 'invalidAnswer' }]);
    });
  });
});

vitest.describe('the sends of a request', () => {
  vitest.test('are kept in a limited number (guards against log lines without bound)', () => {
    const log = new SendLog();
    for (let send = 0; send < 100; send += 1) {
      log.start(`r${send}`);
    }
    vitest
      .expect(log.records.map(({ replica }) => replica))
      .toEqual(Array.from({ length: 8 }, (_none, i) => `r${92 + i}`));
  });
});
