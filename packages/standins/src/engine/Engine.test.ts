import * as timers from 'node:timers/promises';
import * as vitest from 'vitest';
import { call, type JsonResponse } from '../testSupport.js';
import { Engine } from './Engine.js';
import { answerText } from './tokens.js';
import type { EngineOptions } from './Types.js';

const model = 'solano/walkthrough';

vitest.describe('Engine', () => {
  let engine: Engine;

  async function open(options: EngineOptions): Promise<void> {
    engine = await Engine.open({ tokenMs: 2, firstTokenMs: 5, ...options });
  }

  vitest.afterEach(async () => {
    await engine[Symbol.asyncDispose]();
  });

  function order(action: 'load' | 'unload', parameters: unknown, name = model): Promise<JsonResponse> {
    return call(engine, 'POST', `/v2/repository/models/${encodeURIComponent(name)}/${action}`, { parameters });
  }

  async function stateOf(name = model): Promise<string | undefined> {
    const index = (await call(engine, 'POST', '/v2/repository/index', {})).body;
    return (index as { name: string; state: string }[]).find((entry) => entry.name === name)?.state;
  }

  async function load(parameters: object = {}, name = model): Promise<void> {
    await order('load', { version: '1', bytes: [1e9], ...parameters }, name);
    await vitest.vi.waitFor(
      async () => {
        vitest.expect(await stateOf(name)).toBe('READY');
      },
      { timeout: 5000, interval: 5 },
    );
  }

  function complete(body: object, headers: Readonly<Record<string, string>> = {}): Promise<JsonResponse> {
    return call(engine, 'POST', '/v1/completions', { model, prompt: 'hi', ...body }, headers);
  }

  async function requestsArrived(count: number): Promise<void> {
    await vitest.vi.waitFor(
      () => {
        vitest.expect(engine.records.requests).toHaveLength(count);
      },
      { timeout: 5000, interval: 1 },
    );
  }

  function textOf(response: JsonResponse): string | undefined {
    return (response.body as { choices: { text: string }[] }).choices[0]?.text;
  }

  function usedBytes(): readonly number[] | undefined {
    return engine.records.models.at(-1)?.usedBytes;
  }

  vitest.test('streams the tokens of its own request with indices and end marker (guards stream tests)', async () => {
    await open({});
    await load();
    const response = await fetch(`http://127.0.0.1:${engine.port}/v1/completions`, {
      method: 'POST',
      headers: { 'x-request-id': 'r1' },
      body: JSON.stringify({ model, prompt: 'hi', stream: true, max_tokens: 5, resume_from: 2 }),
    });
    const events = (await response.text()).trim().split('\n\n');
    vitest.expect(events.pop()).toBe('data: [DONE]');
    const chunks = events.map((event) => JSON.parse(event.slice(6)) as Record<string, unknown>);
    vitest.expect(chunks.map((chunk) => chunk.token_index)).toEqual([2, 3, 4]);
    vitest.expect(new Set(chunks.map((chunk) => chunk.id))).toEqual(new Set(['r1']));
    vitest.expect(textOf(await complete({ max_tokens: 5 }))).toBe(answerText('hi', 5));
    vitest.expect(engine.records.requests).toMatchObject([
      { id: 'r1', tokens: 3, outcome: 'finished' },
      { tokens: 5, outcome: 'finished' },
    ]);
  });

  vitest.test('refuses stale fencing tokens only if it checks them (guards tests of paused owners)', async () => {
    await open({ fencing: 'checked' });
    vitest.expect((await call(engine, 'POST', '/v2/fencing', { fencing_token: 7 })).status).toBe(200);
    vitest.expect(await order('load', { fencing_token: 6 })).toMatchObject({ status: 412, body: { fencing_token: 7 } });
    vitest.expect((await order('load', { fencing_token: 7 })).status).toBe(200);
    vitest.expect(engine.records.orders.map(({ token, status }) => [token, status])).toEqual([
      [7, 200],
      [6, 412],
      [7, 200],
    ]);
    await engine[Symbol.asyncDispose]();
    await open({ fencing: 'ignored' });
    await order('load', { fencing_token: 7 });
    vitest.expect((await order('load', { fencing_token: 6 })).status).toBe(200);
    vitest.expect((await call(engine, 'POST', '/v2/fencing', { fencing_token: 9 })).status).toBe(404);
  });

  vitest.test('checks the token of a delayed order at its execution (guards tests of late orders)', async () => {
    await open({ fencing: 'checked' });
    await call(engine, 'POST', '/control', { delayOrdersMs: 1000 });
    const late = order('load', { fencing_token: 1 });
    await timers.setTimeout(50);
    await call(engine, 'POST', '/control', { delayOrdersMs: 0 });
    await call(engine, 'POST', '/v2/fencing', { fencing_token: 2 });
    vitest.expect((await late).status).toBe(412);
  });

  vitest.test('loads beyond its memory, records a violation (guards against hidden overcommitment)', async () => {
    await open({ accelerators: [10e9, 10e9] });
    await load({ bytes: [6e9], accelerators: [1], reservation: [1e9] });
    vitest.expect(usedBytes()).toEqual([0, 7e9]);
    vitest.expect(engine.records.violations).toEqual([]);
    await load({ bytes: [4e9, 4e9] }, 'solano/other');
    vitest.expect(usedBytes()).toEqual([4e9, 11e9]);
    vitest.expect(engine.records.violations).toMatchObject([{ rule: 'memoryOvercommitted' }]);
  });

  vitest.test('drains: refuses new requests, finishes running ones, frees memory (guards drain tests)', async () => {
    await open({ tokenMs: 20 });
    await load();
    const running = complete({ max_tokens: 20 });
    await requestsArrived(1);
    await order('unload', { drain: true });
    vitest.expect(await stateOf()).toBe('UNLOADING');
    vitest.expect(usedBytes()).toEqual([1e9]);
    vitest.expect(await complete({})).toMatchObject({ status: 404, body: { error: { type: 'model_not_loaded' } } });
    vitest.expect(textOf(await running)).toBe(answerText('hi', 20));
    vitest.expect(await stateOf()).toBe('UNAVAILABLE');
    vitest.expect(usedBytes()).toEqual([0]);
  });

  vitest.test('ends running requests on an unload without drain (guards tests of broken streams)', async () => {
    await open({ tokenMs: 20 });
    await load();
    const running = complete({ max_tokens: 50 });
    await requestsArrived(1);
    await Promise.all([vitest.expect(running).rejects.toThrow(), order('unload', {})]);
    vitest.expect(engine.records.requests[0]?.outcome).toBe('unloaded');
    vitest.expect(usedBytes()).toEqual([0]);
  });

  vitest.test('serves interactive requests first, sheds batch ones when full (guards priority tests)', async () => {
    await open({ slots: 1, queueLimit: 2, tokenMs: 30 });
    await load();
    const responses = [];
    for (const [id, priority] of [
      ['a', 'batch'],
      ['b', 'batch'],
      ['c', 'batch'],
      ['d', 'interactive'],
    ] as const) {
      responses.push(complete({ max_tokens: 10 }, { 'x-request-id': id, 'x-priority': priority }));
      await requestsArrived(responses.length);
    }
    vitest.expect((await Promise.all(responses)).map(({ status }) => status)).toEqual([200, 200, 503, 200]);
    const [, second, , fourth] = engine.records.requests;
    vitest.expect(fourth?.startedMs).toBeLessThanOrEqual(second?.startedMs ?? 0);
    vitest.expect(fourth?.endedMs).toBeLessThan(second?.endedMs ?? 0);
  });

  vitest.test('cancels a request whose connection closes (guards tests of cancelled requests)', async () => {
    await open({ slots: 1, tokenMs: 20 });
    await load();
    const body = JSON.stringify({ model, prompt: 'hi', max_tokens: 500, stream: true });
    const url = `http://127.0.0.1:${engine.port}/v1/completions`;
    const response = fetch(url, { method: 'POST', body, signal: AbortSignal.timeout(100) });
    await vitest.expect(response.then((answer) => answer.text())).rejects.toThrow();
    await vitest.vi.waitFor(() => {
      vitest.expect(engine.records.requests[0]?.outcome).toBe('cancelled');
    }, 5000);
    vitest.expect((await complete({ max_tokens: 2 })).status).toBe(200);
  });

  vitest.test('hangs and fails loads when faults are set (guards tests of hanging and failed loads)', async () => {
    await open({});
    await call(engine, 'POST', '/control', { hangLoads: true, failLoads: 1 });
    await order('load', { version: '1', bytes: [1e9] });
    await timers.setTimeout(100);
    vitest.expect(await stateOf()).toBe('LOADING');
    await call(engine, 'POST', '/control', { hangLoads: false });
    await vitest.vi.waitFor(async () => {
      vitest.expect(await stateOf()).toBe('UNAVAILABLE');
    }, 5000);
    vitest.expect(usedBytes()).toEqual([0]);
    await load();
  });

  vitest.test('loads adapters only for a ready model, frees them with the model (guards adapter tests)', async () => {
    await open({});
    const adapter = { lora_name: 'foreman', model, bytes: [1e8], accelerators: [0] };
    vitest.expect((await call(engine, 'POST', '/v1/load_lora_adapter', adapter)).status).toBe(404);
    await load();
    vitest.expect((await complete({ model: `${model}:foreman` })).status).toBe(404);
    vitest.expect((await call(engine, 'POST', '/v1/load_lora_adapter', adapter)).status).toBe(200);
    vitest.expect((await complete({ model: `${model}:foreman` })).status).toBe(200);
    await order('unload', { drain: true });
    vitest.expect(usedBytes()).toEqual([0]);
    vitest.expect(engine.records.adapters.map(({ state }) => state)).toEqual(['loading', 'ready', 'unloaded']);
  });

  vitest.test('reports load and cache events late (guards against tests that see only fresh reports)', async () => {
    await open({ loadLagMs: 800, cacheEventLagMs: 800, tokenMs: 50 });
    await load();
    await timers.setTimeout(850);
    const running = complete({ max_tokens: 40, prompt: 'p'.repeat(200) });
    await timers.setTimeout(100);
    vitest.expect((await call(engine, 'GET', '/v2/load')).body).toMatchObject({ running: 0, free_bytes: [79e9] });
    vitest.expect((await call(engine, 'GET', '/v2/cache-events?from=0')).body).toMatchObject({ events: [] });
    await timers.setTimeout(900);
    vitest.expect((await call(engine, 'GET', '/v2/load')).body).toMatchObject({ running: 1 });
    vitest.expect((await call(engine, 'GET', '/v2/cache-events?from=2')).body).toMatchObject({
      events: [{ sequence: 2 }, { sequence: 3 }],
    });
    await running;
  });
});
