/**
 * One of two replicas of a streaming service answers every twenty-fifth of its requests with an event that never ends, until the
 * caller closes. The gateway that reads it stands still for seconds: requests of another service, which a sound replica
 * has answered in 20 ms, have no answer long after the timeout of their route.
 */
import * as fs from 'node:fs';
import { clearInterval, setInterval } from 'node:timers';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import { callGateway } from '../lib/consumers.mjs';
import { hasTrouble, runCase } from '../lib/cases.mjs';
import { StreamReplica } from '../lib/endless.mjs';
import { Machine } from '../lib/gateways.mjs';
import { PlainReplica } from '../lib/replicas.mjs';
import { Store } from '../lib/store.mjs';

const machineCount = 2;
const lengthMs = 30_000;
const plainIntervalMs = 40;
const streamIntervalMs = 200;
/** Every so many-th answer of the replica in trouble has no end. */
const endlessEvery = 25;
const timeoutMs = 600;
/** Time after the timeout of the route within which the final answer must come (CONFIG), milliseconds. */
const graceMs = 500;
/** So many unanswered requests break the rule, if they are over a quarter of those that last longer. */
const unansweredLimit = 8;

const limits = { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
const configuration = {
  version: 3,
  routes: [
    {
      name: 'book',
      path_prefix: '/book/',
      kind: 'unsafe',
      service: 'ops',
      timeout_ms: timeoutMs,
      latency_target_ms: 121,
    },
    {
      name: 'walk',
      path_prefix: '/walk/',
      kind: 'streaming',
      service: 'llm',
      timeout_ms: 12_000,
      latency_target_ms: 250,
      gap_aim_ms: 200,
    },
  ].map((route) => ({ ...route, hostname: 'h.example', priority: 1, attempts: 2 })),
  services: [{ name: 'ops' }, { name: 'llm' }],
  limits,
};

const folder = url.fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, 110_000, async ({ record, temporary, stops }) => {
  const store = new Store();
  await store.open();
  stops.push(() => store.close());
  store.put('keyed.op', 'config', configuration);
  let answers = 0;
  const isEndless = (request) => {
    answers += 1;
    if (!hasTrouble || answers % endlessEvery !== 0) {
      return false;
    }
    record.add(`replica l-1 answers ${request.headers['attempt-id']} without end`);
    return true;
  };
  const replicas = [
    new PlainReplica('o-1', 'ops', { workMs: 20 }),
    new PlainReplica('o-2', 'ops', { workMs: 20 }),
    new StreamReplica('l-1', 'llm', { line: 'data: to\n', isEndless }),
    new StreamReplica('l-2', 'llm', { line: '' }),
  ];
  for (const replica of replicas) {
    await replica.open();
    stops.push(() => replica.close());
    store.put('keyed.servers', replica.id, replica.entry());
  }
  const machines = [];
  for (let index = 1; index <= machineCount; index += 1) {
    machines.push(await Machine.create(index, store, temporary));
  }
  const seeds = machines.map(({ host, ports }) => `${host}:${ports.peers}`);
  for (const machine of machines) {
    machine.onEnd = (code, signal) => record.add(`${machine.name} ended by itself: code ${code}, signal ${signal}`);
    machine.start(seeds, true);
    stops.push(() => machine.stop());
  }
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));

  // The longest pause of this process shows that the times below are those of the gateways.
  let longestPauseMs = 0;
  let lastMs = Date.now();
  const pauses = setInterval(() => {
    longestPauseMs = Math.max(longestPauseMs, Date.now() - lastMs - 20);
    lastMs = Date.now();
  }, 20);
  const calls = [];
  const startedMs = Date.now();
  let nextStreamMs = startedMs;
  for (let index = 0; Date.now() - startedMs < lengthMs; index += 1) {
    const machine = machines[index % machines.length];
    const headers = { 'Deadline-Ms': '5000', 'Content-Length': '0' };
    calls.push(callGateway({ machine, path: `/book/b${index}`, method: 'POST', attemptId: `b${index}`, headers }));
    if (Date.now() >= nextStreamMs) {
      nextStreamMs += streamIntervalMs;
      const call = { machine, path: `/walk/w${index}`, attemptId: `w${index}`, headers: { 'Deadline-Ms': '12000' } };
      calls.push(callGateway(call));
    }
    await timers.setTimeout(plainIntervalMs);
  }
  const results = await Promise.all(calls);
  clearInterval(pauses);

  const runs = new Map(replicas.flatMap((replica) => replica.runs.map((run) => [run.attemptId, run])));
  for (const { attemptId, machine, status, failure, sentMs, endedMs } of results) {
    const run = runs.get(attemptId);
    const ran = run === undefined ? 'not run' : `ran from ${run.startMs - sentMs} to ${(run.endMs ?? NaN) - sentMs} ms`;
    record.add(`${attemptId} to ${machine}: ${status ?? failure} after ${endedMs - sentMs} ms, ${ran}`, sentMs);
  }
  const plain = results.filter(({ attemptId }) => attemptId.startsWith('b'));
  const lasting = plain.filter(({ sentMs, endedMs }) => endedMs - sentMs > timeoutMs);
  const unanswered = lasting.filter(({ sentMs, endedMs }) => endedMs - sentMs > timeoutMs + graceMs);
  record.add(`${replicas[2].endlessBytes} bytes of answers without end were written`);
  record.add(`longest pause of the script itself: ${longestPauseMs} ms`);
  for (const machine of machines) {
    record.add(`${machine.name}: peak memory ${peakMemoryMegabytes(machine.pid) ?? 'unknown'} MB`);
  }
  const longestMs = Math.max(...plain.map(({ sentMs, endedMs }) => endedMs - sentMs));
  const figures = `${plain.length} requests on the plain route, ${lasting.length} unanswered at ${timeoutMs} ms`;
  record.add(`${figures}, ${unanswered.length} of them still ${graceMs} ms later; the longest took ${longestMs} ms`);
  console.log(`${figures}, ${unanswered.length} of them still ${graceMs} ms later; the longest took ${longestMs} ms`);
  return unanswered.length >= unansweredLimit && unanswered.length > lasting.length / 2
    ? [`CONFIG: ${unanswered.length} of ${lasting.length} requests had no answer ${graceMs} ms after their timeout`]
    : [];
});

function peakMemoryMegabytes(pid) {
  try {
    const kilobytes = /VmHWM:\s+(\d+)/.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return Math.round(Number(kilobytes) / 1024);
  } catch {
    return undefined;
  }
}
