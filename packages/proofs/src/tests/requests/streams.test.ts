import * as http from 'node:http';
import * as standins from '@jayhaven/standins';
import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import { model, partner, sendMany, startLoadedCluster, withoutValidOutcome } from './loadedCluster.js';

/** Sets faults of the given engines; of all if none are given. */
async function controlEngines(cluster: harness.Cluster, faults: unknown, engines = cluster.engines): Promise<void> {
  await Promise.all(engines.map(({ standIn }) => standIn.control(faults)));
}

vitest.describe('answers under faults of engines', () => {
  let cluster: harness.Cluster;

  vitest.beforeAll(async () => {
    cluster = await startLoadedCluster();
  });

  vitest.beforeEach(async () => {
    await controlEngines(cluster, { crossAnswers: false, truncateStreams: null, truncateCleanly: false });
  });

  vitest.afterAll(async () => {
    await cluster[Symbol.asyncDispose]();
  });

  vitest.test.each([0.2, true])(
    'no caller gets the answer to another request, crossed: %s (guards against answers matched by connection only)',
    async (crossAnswers) => {
      await controlEngines(cluster, { crossAnswers });
      const results = await sendMany(cluster, 60, 10, 4_000);
      vitest.expect(withoutValidOutcome(results), cluster.errorOutput(1_000)).toEqual([]);
      vitest.expect(await cluster.observer.violations()).toEqual([]);
      const crossed = cluster.observer
        .engineRecords()
        .flatMap(({ records }) => records.requests.filter((r) => r.crossed));
      vitest.expect(crossed.length).toBeGreaterThan(0);
    },
  );

  vitest.test.each([true, false])(
    'a stream cut by one engine continues at the other, clean end: %s (guards against a truncated success)',
    async (truncateCleanly) => {
      await controlEngines(cluster, { truncateStreams: 4, truncateCleanly }, cluster.engines.slice(0, 1));
      const results = await sendMany(cluster, 30, 12);
      const streams = results.filter((_result, index) => index % 2 === 0);
      vitest.expect(streams.filter(({ outcome }) => outcome !== 'complete')).toEqual([]);
      vitest.expect(withoutValidOutcome(results), cluster.errorOutput(1_000)).toEqual([]);
      vitest.expect(await cluster.observer.violations()).toEqual([]);
    },
  );

  vitest.test.each([true, false])(
    'a stream cut by every engine ends complete or with an error, clean end: %s (guards against a truncated success)',
    async (truncateCleanly) => {
      await controlEngines(cluster, { truncateStreams: 3, truncateCleanly });
      const results = await sendMany(cluster, 30, 40, 4_000);
      vitest.expect(withoutValidOutcome(results), cluster.errorOutput(1_000)).toEqual([]);
      vitest.expect(results.filter(({ outcome }) => outcome === 'complete')).toEqual([]);
      vitest.expect(await cluster.observer.violations()).toEqual([]);
    },
  );

  vitest.test('a slow caller gets the complete answer (guards against a stream without backpressure)', async () => {
    const maximumTokens = 400;
    const prompt = 'slow caller';
    const text = await readSlowly(cluster.daemon(0).callersUrl, prompt, maximumTokens);
    vitest.expect(text).toBe(standins.answerText(prompt, maximumTokens));
  });

  vitest.test(
    'requests that every engine fails are answered well before their deadline (guards against requests held without need)',
    async () => {
      await controlEngines(cluster, { crossAnswers: true });
      const results = await sendMany(cluster, 60, 10, 10_000);
      vitest.expect(results.filter(({ error }) => error?.type === 'deadline_exceeded')).toEqual([]);
    },
  );

  // Must stay the last test of this file, because the engine is not restarted.
  vitest.test('streams of a killed engine continue at the other one (guards against lost streams)', async () => {
    const started = sendMany(cluster, 24, 200);
    await harness.delay(400);
    await cluster.engines[0]?.standIn.process.kill();
    const results = await started;
    const streams = results.filter((_result, index) => index % 2 === 0);
    vitest.expect(streams.filter(({ outcome }) => outcome !== 'complete')).toEqual([]);
    vitest.expect(withoutValidOutcome(results), cluster.errorOutput(1_000)).toEqual([]);
    vitest.expect(await cluster.observer.violations()).toEqual([]);
  });
});

/** Reads a stream with a pause of one second after its first chunk, and returns the text of its tokens. */
function readSlowly(baseUrl: string, prompt: string, maximumTokens: number): Promise<string> {
  const body = JSON.stringify({ model, stream: true, max_tokens: maximumTokens, prompt });
  return new Promise((resolve, reject) => {
    const headers = {
      authorization: `Bearer ${harness.bearerKey('caller', partner)}`,
      'content-type': 'application/json',
    };
    const request = http.request(`${baseUrl}/v1/completions`, { method: 'POST', headers }, (response) => {
      let received = '';
      response.setEncoding('utf8');
      response.once('data', () => {
        response.pause();
        setTimeout(() => response.resume(), 1_000);
      });
      response.on('data', (piece: string) => {
        received += piece;
      });
      response.on('error', reject);
      response.on('end', () => {
        const events = received.split('\n\n').filter((event) => event.startsWith('data: {'));
        const chunks = events.map(
          (event) => JSON.parse(event.slice('data: '.length)) as { choices: { text: string }[] },
        );
        resolve(received.includes('data: [DONE]') ? chunks.map((chunk) => chunk.choices[0]?.text ?? '').join('') : '');
      });
    });
    request.on('error', reject);
    request.end(body);
  });
}
