import * as vitest from 'vitest';
import { notExecutedHead, sends, signedAnswer } from '../testing/replicaScripts.js';
import { withReplicas } from '../testing/withReplicas.js';

const statuses = [408, 429, 503];
const answerOf = (status: number): string => signedAnswer.replace('200 OK', `${status} Full`);
const neverRepeated = [{ kind: 'nonIdempotent' }, { kind: 'stream', resumable: false }] as const;

vitest.describe('a status by which a caller takes its request for not run', () => {
  vitest.test.each(statuses)(
    '%i is not passed on if the replica does not state that (guards against a promise that no replica made)',
    async (status) => {
      for (const route of neverRepeated) {
        await withReplicas(route, [sends(answerOf(status)), sends(answerOf(status))], async (fixture) => {
          const response = await fixture.call();
          vitest.expect(response).toMatchObject({ status: 502, complete: true });
          vitest.expect(response.headers['x-other']).toBeUndefined();
          vitest.expect(fixture.requestHeads.length).toBe(1);
        });
      }
    },
  );

  vitest.test.each(statuses)('%i is passed on to a caller that may repeat its request anyway', async (status) => {
    for (const route of [{}, { kind: 'stream', resumable: true } as const]) {
      await withReplicas({ ...route, maximumAttempts: 1 }, [sends(answerOf(status))], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status, body: 'whole' });
      });
    }
  });

  vitest.test('stands if the replica states that it has not run the request', async () => {
    for (const route of neverRepeated) {
      const refusal = `${notExecutedHead}Content-Length: 0\r\n\r\n`;
      await withReplicas(route, [sends(refusal)], async (fixture) => {
        fixture.retrySlack = 0;
        vitest.expect(await fixture.call()).toMatchObject({ status: 503 });
      });
    }
  });
});

vitest.describe('a failure that promises nothing', () => {
  vitest.test.each([400, 404, 500, 502, 504])('is passed on as it is: %i', async (status) => {
    for (const route of neverRepeated) {
      await withReplicas(route, [sends(answerOf(status))], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status, body: 'whole' });
      });
    }
  });
});

vitest.describe('a success that says it was not run', () => {
  const contradiction = signedAnswer.replace('x-other: 1', 'x-not-run: 1');

  vitest.test('is no refusal (guards against a second run and an untrue promise)', async () => {
    for (const route of neverRepeated) {
      await withReplicas(route, [sends(contradiction), sends(contradiction)], async (fixture) => {
        vitest.expect(await fixture.call()).toMatchObject({ status: 502 });
        vitest.expect(fixture.requestHeads.length).toBe(1);
      });
    }
  });
});
