/**
 * One of two replicas of a plain service spoils one byte of the status line of 2 in 100 of its answers, for 5 s at a
 * time. The gateways end
 * at such an answer, and with them the requests that the sound replica is working on.
 */
import * as http from 'node:http';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import { callGateway } from '../lib/consumers.mjs';
import { hasTrouble, runCase } from '../lib/cases.mjs';
import { Machine, repository } from '../lib/gateways.mjs';
import { PlainReplica, sendWithStatusLine } from '../lib/replicas.mjs';
import { Store } from '../lib/store.mjs';

const machineCount = 3;
const lengthMs = 60_000;
const requestIntervalMs = 8;
/** Share of the answers of one replica that are spoilt: `garble` with its defaults. */
const spoiltShare = 0.02;
/** Length of each span with spoilt answers, `garble`'s default, and the pause after it, milliseconds. */
const spanMs = 5_000;
const pauseMs = 5_000;
const workMs = 40;
/** A machine may close this many kept connections whose request it has passed on without an answer (LOST). */
const allowedLosses = 3;
/** Ends of processes by themselves on one machine, and number of such machines (the rule on faults). */
const faultyEnds = 3;
const faultyMachines = 2;

/** Status lines in which one byte is wrong: a control byte in the reason phrase, or a digit of the status. */
const spoiltLines = ['HTTP/1.1 200 O\x0b', 'HTTP/1.1 000 OK', 'HTTP/1.1 200 \x0fK'];

const configuration = {
  version: 3,
  routes: [
    { name: 'book', path_prefix: '/book/', kind: 'unsafe' },
    { name: 'list', path_prefix: '/list/', kind: 'safe' },
  ].map((route) => ({
    ...route,
    hostname: 'h.example',
    service: 'ops',
    timeout_ms: 1_500,
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
  let spoilt = 0;
  let startedMs = Number.POSITIVE_INFINITY;
  const isInSpan = () => Date.now() >= startedMs && (Date.now() - startedMs) % (spanMs + pauseMs) < spanMs;
  const spoil = (request, response, answer) => {
    if (!isInSpan()) {
      return false;
    }
    answers += 1;
    // Evenly spread: every fiftieth answer.
    if (!hasTrouble || answers % Math.round(1 / spoiltShare) !== 0) {
      return false;
    }
    const line = spoiltLines[spoilt % spoiltLines.length];
    spoilt += 1;
    record.add(`replica i-1 answers ${answer.headers['Attempt-Id']} with ${JSON.stringify(line)}`);
    sendWithStatusLine(response, line, answer);
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
    if (!machine.ended) {
      const path = index % 2 === 0 ? `/book/b${index}` : `/list/l${index}`;
      const headers = { 'Deadline-Ms': '1500', ...(index % 2 === 0 && { 'Content-Length': '0' }) };
      const method = index % 2 === 0 ? 'POST' : 'GET';
      const attemptId = `a${index}`;
      calls.push(callGateway({ machine, path, method, attemptId, headers, agent: agents.get(machine) }));
    }
    await timers.setTimeout(requestIntervalMs);
  }
  const results = await Promise.all(calls);

  const runs = new Map(replicas[1].runs.map((run) => [run.attemptId, run]));
  const spoiltIds = new Set(replicas[0].runs.filter((run) => run.spoilt).map((run) => run.attemptId));
  const losses = new Map();
  for (const result of results) {
    const { attemptId, machine, status, kept, failure } = result;
    record.add(`${attemptId} to ${machine}: status ${status ?? `none (${failure})`}, kept ${kept}`, result.sentMs);
    if (status === undefined && kept && runs.has(attemptId) && !spoiltIds.has(attemptId)) {
      losses.set(machine, [...(losses.get(machine) ?? []), attemptId]);
    }
  }
  const served = results.filter(({ status }) => status === 200).length;
  record.add(`${results.length} requests, ${served} served, ${spoilt} spoilt answers`);
  const breaches = [];
  for (const [machine, ids] of losses) {
    record.add(`${machine}: ${ids.length} requests at the sound replica lost on kept connections: ${ids.join(' ')}`);
    if (ids.length > allowedLosses) {
      breaches.push(`LOST: ${machine} closed ${ids.length} kept connections whose requests ran at the sound replica`);
    }
  }
  const faulty = machines.filter(({ ends }) => ends.length >= faultyEnds);
  for (const { name, ends } of machines) {
    record.add(`${name}: ${ends.length} ends by itself`);
  }
  if (faulty.length >= faultyMachines) {
    breaches.push(`processes of ${faulty.length} machines ended by themselves ${faultyEnds} times or more`);
  }
  for (const machine of machines.slice(0, 1)) {
    const trace = machine.output.split('\n').filter((line) => !line.startsWith('{'));
    record.add(`standard error of ${machine.name}: ${trace.slice(0, 12).join(' | ').replaceAll(repository, '')}`);
  }
  return breaches;
});
