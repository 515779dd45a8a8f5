/**
 * One of two replicas of a plain service spoils one byte of the head of 2 in 100 of its answers, in the name of the header
 * with its seal. The gateways pass such an answer on as a success, which then has no `Replica-Seal`.
 */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import { callGateway } from '../lib/consumers.mjs';
import { hasTrouble, runCase } from '../lib/cases.mjs';
import { Machine } from '../lib/gateways.mjs';
import { PlainReplica, sendWithStatusLine } from '../lib/replicas.mjs';
import { Store } from '../lib/store.mjs';

const machineCount = 3;
const lengthMs = 20_000;
const requestIntervalMs = 12;
/** Every so many-th answer of one replica is spoilt: `garble` with its defaults. */
const spoiltEvery = 50;
/** The one span with spoilt answers, `garble`'s default length, milliseconds after the first request. */
const spanFromMs = 5_000;
const spanMs = 5_000;
const workMs = 20;

const configuration = {
  version: 3,
  routes: [
    { name: 'book', path_prefix: '/book/', kind: 'unsafe' },
    { name: 'list', path_prefix: '/list/', kind: 'safe' },
  ].map((route) => ({
    ...route,
    hostname: 'h.example',
    service: 'ops',
    timeout_ms: 600,
    latency_target_ms: 121,
    priority: 2,
    attempts: 2,
  })),
  services: [{ name: 'ops' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

const folder = url.fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, 110_000, async ({ record, temporary, stops }) => {
  const store = new Store();
  await store.open();
  stops.push(() => store.close());
  store.put('keyed.op', 'config', configuration);
  let answers = 0;
  let startedMs = Number.POSITIVE_INFINITY;
  const isInSpan = () => Date.now() >= startedMs + spanFromMs && Date.now() < startedMs + spanFromMs + spanMs;
  const spoil = (request, response, { headers, body }) => {
    if (!isInSpan()) {
      return false;
    }
    answers += 1;
    if (!hasTrouble || answers % spoiltEvery !== 0) {
      return false;
    }
    const { 'Replica-Seal': seal, ...others } = headers;
    record.add(`replica i-1 answers ${headers['Attempt-Id']} with "Replica-Sea|" in place of "Replica-Seal"`);
    sendWithStatusLine(response, 'HTTP/1.1 200 OK', { headers: { ...others, 'Replica-Sea|': seal }, body });
    return true;
  };
  const replicas = [new PlainReplica('i-1', 'ops', { workMs, spoil }), new PlainReplica('i-2', 'ops', { workMs })];
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

  const agents = new Map(machines.map((machine) => [machine, new http.Agent({ keepAlive: true, maxSockets: 24 })]));
  const calls = [];
  startedMs = Date.now();
  for (let index = 0; Date.now() - startedMs < lengthMs; index += 1) {
    const machine = machines[index % machines.length];
    const isUnsafe = index % 2 === 0;
    calls.push(
      callGateway({
        machine,
        path: isUnsafe ? `/book/b${index}` : `/list/l${index}`,
        method: isUnsafe ? 'POST' : 'GET',
        attemptId: `a${index}`,
        headers: { 'Deadline-Ms': '600', ...(isUnsafe && { 'Content-Length': '0' }) },
        agent: agents.get(machine),
      }),
    );
    await timers.setTimeout(requestIntervalMs);
  }
  const results = await Promise.all(calls);
  for (const { attemptId, machine, status, failure, seal, sentMs } of results) {
    record.add(`${attemptId} to ${machine}: status ${status ?? failure}, seal ${seal ?? 'none'}`, sentMs);
  }
  const successes = results.filter(({ status }) => status >= 200 && status < 300);
  const unsealed = successes.filter(({ seal }) => seal === undefined);
  const figures = `${results.length} requests, ${successes.length} successes, ${unsealed.length} of them without a seal`;
  record.add(figures);
  console.log(figures);
  return unsealed.length > 0 ? [`MIXED: ${unsealed.length} consumers got a success without the replica's seal`] : [];
});
