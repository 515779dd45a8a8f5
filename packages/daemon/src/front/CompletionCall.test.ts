import * as http from 'node:http';
import * as common from '@jayhaven/common';
import * as vitest from 'vitest';
import { expectedText, FrontFixture, streamText, type TestResponse } from './testing/FrontFixture.js';

function errorOf(response: TestResponse): common.ErrorBody['error'] {
  return (JSON.parse(response.text) as common.ErrorBody).error;
}

/** Opens a stream and pauses reading after the first chunk. */
function openSlowStream(fixture: FrontFixture, tokens: number): Promise<http.IncomingMessage> {
  return new Promise((resolve, reject) => {
    const body = JSON.stringify({ model: 'walk', stream: true, max_tokens: tokens, prompt: 'p' });
    const headers = { authorization: 'Bearer solano-key', 'content-length': body.length };
    const options = { host: '127.0.0.1', port: fixture.front.port, path: '/v1/completions', method: 'POST', headers };
    const outgoing = http.request({ ...options, agent: false }, (response) => {
      response.once('data', () => {
        response.pause();
        resolve(response);
      });
    });
    outgoing.on('error', reject);
    outgoing.end(body);
  });
}

vitest.describe('CompletionCall', () => {
  vitest.test('resumes a broken stream on another replica (guards against missing and repeated tokens)', async () => {
    await using fixture = await FrontFixture.open();
    const first = await fixture.addEngine('vm-1', true);
    await fixture.setFaults(first, { truncateStreams: 7 });
    await fixture.addEngine('vm-2', true);
    const isResumed = (): boolean => fixture.events.some(({ event }) => event === 'resumed');
    // The router picks one of two idle engines at random, so six requests may all miss the one whose streams break.
    for (let index = 0; index < 6 || (!isResumed() && index < 60); index += 1) {
      const response = await fixture.chat(`p${index}`, { stream: true, tokens: 30 });
      vitest.expect(streamText(response.text)).toBe(expectedText(`p${index}`, 30));
      vitest.expect(response.text.match(/\[DONE\]/g)).toHaveLength(1);
    }
    vitest.expect(isResumed()).toBe(true);
  });

  vitest.test('finishes every request of an engine that fails (guards against losing requests in flight)', async () => {
    await using fixture = await FrontFixture.open();
    const dying = await fixture.addEngine('vm-1', true, { slots: 64, tokenMs: 10 });
    const responses = Array.from({ length: 60 }, (_, index) =>
      fixture.chat(`p${index}`, { stream: index % 2 === 0, tokens: 50 }),
    );
    // On a busy machine, 60 requests take more than a second to start.
    await vitest.vi.waitFor(() => {
      vitest.expect(dying.records.requests.filter(({ tokens }) => tokens > 3)).toHaveLength(60);
    }, 10_000);
    await fixture.addEngine('vm-2', true, { slots: 64 });
    await dying[Symbol.asyncDispose]();
    for (const [index, response] of (await Promise.all(responses)).entries()) {
      const text = index % 2 === 0 ? streamText(response.text) : response.text;
      vitest.expect(text, `answer ${index}`).toContain(expectedText(`p${index}`, 50));
    }
  });

  vitest.test(
    'treats a cleanly ended stream without its end marker as broken (guards against a truncated response)',
    async () => {
      await using fixture = await FrontFixture.open();
      const engine = await fixture.addEngine('vm-1', true);
      await fixture.setFaults(engine, { truncateStreams: 2, truncateCleanly: true });
      const response = await fixture.chat('p', { stream: true, tokens: 40 });
      vitest.expect(response.complete).toBe(true);
      vitest.expect(response.text).toContain('event: error');
      vitest.expect(response.text).toContain('"executed":"yes"');
      vitest.expect(response.text).not.toContain('[DONE]');
    },
  );

  vitest.test('never forwards the response to another request (guards against crossed responses)', async () => {
    await using fixture = await FrontFixture.open();
    const engine = await fixture.addEngine('vm-1', true);
    await fixture.setFaults(engine, { crossAnswers: 0.5 });
    const requests = Array.from({ length: 30 }, async (_, index) => {
      const stream = index % 2 === 0;
      const response = await fixture.chat(`secret${index}`, { stream, headers: { 'x-request-id': 'same' } });
      if (response.status === 200 && !response.text.includes('event: error')) {
        vitest.expect(response.text.includes(expectedText(`secret${index}`).split(' ')[0] ?? '')).toBe(true);
        vitest.expect(response.text).toContain('"id":"same"');
      }
      const ownToken = expectedText(`secret${index}`, 1).split('-')[0] ?? '';
      for (const token of response.text.match(/t[0-9a-f]{8}-/g) ?? []) {
        vitest.expect(token).toBe(`${ownToken}-`);
      }
      return response.status;
    });
    vitest.expect((await Promise.all(requests)).filter((status) => status === 200).length).toBeGreaterThan(0);
  });

  vitest.test(
    'ends at the deadline with the right execution state (guards against late responses and a false "no")',
    async () => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-1', true, { tokenMs: 50 });
      const startMs = performance.now();
      const unfinished = await fixture.chat('p', { tokens: 100, headers: { 'x-deadline-ms': '300' } });
      vitest.expect(performance.now() - startMs).toBeLessThan(300);
      vitest.expect(unfinished.status).toBe(504);
      vitest.expect(errorOf(unfinished)).toMatchObject({ type: 'deadline_exceeded', executed: 'unknown' });
      const stream = await fixture.chat('p', { tokens: 100, stream: true, headers: { 'x-deadline-ms': '300' } });
      vitest.expect(stream.text).toContain('"type":"deadline_exceeded"');
      vitest.expect(stream.text).not.toContain('[DONE]');
      await vitest.vi.waitFor(() => {
        vitest
          .expect(fixture.engines[0]?.records.requests.map(({ outcome }) => outcome))
          .toEqual(['cancelled', 'cancelled']);
      });
      fixture.controlPlane.change({ replicas: new Map() });
      const cold = await fixture.chat('p', { headers: { 'x-deadline-ms': '200' } });
      vitest.expect(errorOf(cold)).toMatchObject({ type: 'deadline_exceeded', executed: 'no', retryAfterMs: 1_000 });
    },
  );

  vitest.test('refuses waiting requests at once when the owner refuses (guards against useless waiting)', async () => {
    await using fixture = await FrontFixture.open();
    fixture.respondToWake = () =>
      Promise.resolve(common.succeed({ kind: 'refused', type: 'no_memory', message: 'too big', retryAfterMs: 7_000 }));
    const startMs = performance.now();
    const responses = await Promise.all(Array.from({ length: 10 }, (_, index) => fixture.chat(`p${index}`)));
    vitest.expect(performance.now() - startMs).toBeLessThan(2_000);
    for (const response of responses) {
      vitest.expect(response.status).toBe(503);
      vitest.expect(response.headers['retry-after']).toBe('7');
      vitest.expect(errorOf(response)).toMatchObject({ type: 'no_memory', executed: 'no', retryAfterMs: 7_000 });
    }
  });

  vitest.test(
    'refuses at once if the model cannot be ready in time (guards against holding a request that must fail)',
    async () => {
      await using fixture = await FrontFixture.open();
      fixture.respondToWake = () => Promise.resolve(common.succeed({ kind: 'expected', readyInMs: 20_000 }));
      const startMs = performance.now();
      const response = await fixture.chat('p', { headers: { 'x-deadline-ms': '10000' } });
      vitest.expect(performance.now() - startMs).toBeLessThan(1_000);
      vitest.expect(errorOf(response)).toMatchObject({ type: 'deadline_unreachable', executed: 'no' });
    },
  );

  vitest.test(
    'refuses models that are not loaded while the log is down (guards against waiting for the end of an outage)',
    async () => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-1', true);
      fixture.respondToWake = () =>
        Promise.resolve(common.fail({ kind: 'logUnavailable', message: 'the log is down', retryAfterMs: 5_000 }));
      vitest.expect((await fixture.chat('p')).status).toBe(200);
      fixture.controlPlane.change({ replicas: new Map() });
      const cold = await fixture.chat('p');
      vitest.expect(cold.status).toBe(503);
      vitest.expect(errorOf(cold)).toMatchObject({ type: 'log_unavailable', executed: 'no', retryAfterMs: 5_000 });
    },
  );

  vitest.test('sends a wake to a new owner at once (guards against a lost load queue)', async () => {
    await using fixture = await FrontFixture.open();
    const response = fixture.chat('p', { headers: { 'x-deadline-ms': '1500' } });
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.wakes).toHaveLength(1);
    });
    fixture.controlPlane.change({}, { kind: 'ownerClaimed', cell: 'cell', supersedes: null });
    await vitest.vi.waitFor(() => {
      vitest.expect(fixture.wakes).toHaveLength(2);
    }, 500);
    await response;
    vitest.expect(fixture.wakes).toHaveLength(3);
  });

  vitest.test(
    'retries elsewhere when an engine does not have the model (guards against failing on stale state)',
    async () => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-1', false);
      fixture.controlPlane.setReplica({ replica: 50, vm: 'vm-1' });
      await fixture.addEngine('vm-2', true);
      const responses = await Promise.all(Array.from({ length: 10 }, (_, index) => fixture.chat(`p${index}`)));
      vitest.expect(responses.map(({ status }) => status)).toEqual(Array.from({ length: 10 }, () => 200));
    },
  );

  vitest.test(
    'serves a burst larger than the engine queue (guards against refusing requests that can be served)',
    async () => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-1', true, { slots: 4, queueLimit: 4 });
      const responses = await Promise.all(Array.from({ length: 60 }, (_, index) => fixture.chat(`p${index}`)));
      vitest.expect(responses.filter(({ status }) => status === 200)).toHaveLength(60);
    },
  );

  vitest.test(
    'sends no new requests to a leaving VM (guards against requests on a VM that is about to stop)',
    async () => {
      await using fixture = await FrontFixture.open();
      const leaving = await fixture.addEngine('vm-1', true);
      const staying = await fixture.addEngine('vm-2', true);
      fixture.leaving.add('vm-1');
      await Promise.all(Array.from({ length: 10 }, (_, index) => fixture.chat(`a${index}`)));
      vitest.expect(leaving.records.requests).toHaveLength(0);
      fixture.leaving.clear();
      fixture.controlPlane.setVm('vm-1', 'leaving');
      await Promise.all(Array.from({ length: 10 }, (_, index) => fixture.chat(`b${index}`)));
      vitest.expect(leaving.records.requests).toHaveLength(0);
      vitest.expect(staying.records.requests).toHaveLength(20);
    },
  );

  vitest.test(
    'retries on another replica when a target is gone (guards against one failed request per lost target)',
    async () => {
      await using fixture = await FrontFixture.open();
      await fixture.addEngine('vm-2', true);
      fixture.controlPlane.setVm('vm-1', 'live', { address: '127.0.0.1:1' });
      fixture.controlPlane.setReplica({ replica: 50, vm: 'vm-1' });
      const responses = await Promise.all(Array.from({ length: 20 }, (_, index) => fixture.chat(`p${index}`)));
      vitest.expect(responses.filter(({ status }) => status === 200)).toHaveLength(20);
    },
  );

  vitest.test('cancels the engine request when the caller disconnects (guards against wasted tokens)', async () => {
    await using fixture = await FrontFixture.open();
    const engine = await fixture.addEngine('vm-1', true, { tokenMs: 20 });
    const stream = await openSlowStream(fixture, 1_000);
    stream.destroy();
    await vitest.vi.waitFor(() => {
      vitest.expect(engine.records.requests[0]?.outcome).toBe('cancelled');
      vitest.expect(fixture.front.status().inFlight).toBe(0);
    });
  });

  vitest.test('pauses the engine while the caller reads slowly (guards against unbounded buffers)', async () => {
    await using fixture = await FrontFixture.open();
    const engine = await fixture.addEngine('vm-1', true, { tokenMs: 0 });
    const stream = await openSlowStream(fixture, 200_000);
    let previousTokens = -1;
    await vitest.vi.waitFor(
      () => {
        const tokens = engine.records.requests[0]?.tokens ?? 0;
        const stalled = tokens === previousTokens;
        previousTokens = tokens;
        vitest.expect(stalled).toBe(true);
      },
      { timeout: 20_000, interval: 500 },
    );
    vitest.expect(previousTokens).toBeLessThan(200_000);
    stream.destroy();
  });
});
