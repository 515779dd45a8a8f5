/**
 * The open connections to the store go silent, without a reset, while new ones work. Shortly after, the entry of a replica
 * that leaves is removed from the store; it never reported `draining`. When the machines are in touch again and drain_ms
 * has passed, one of them still sends requests to that replica.
 */
import { clearInterval, setInterval } from 'node:timers';
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import { callGateway } from '../lib/consumers.mjs';
import { hasTrouble, runCase } from '../lib/cases.mjs';
import { Machine } from '../lib/gateways.mjs';
import { Proxy } from '../lib/proxy.mjs';
import { PlainReplica } from '../lib/replicas.mjs';
import { Store } from '../lib/store.mjs';

const machineCount = 3;
const rounds = 6;
/** Calm time before the connections go silent in each round, milliseconds. */
const calmMs = 8_000;
/** Time from then until the entry is removed, milliseconds. */
const removalDelayMs = 200;
const observedMs = 6_000;
const requestIntervalMs = 4;
const beatMs = 1_200;
/** Bounds of the small sites: drain_ms and contact_ms. */
const drainMs = 2_000;
const contactMs = 3_000;
/** Tolerance for the clock of the script, milliseconds. */
const toleranceMs = 20;

const configuration = {
  version: 3,
  routes: [
    {
      name: 'list',
      path_prefix: '/list/',
      kind: 'safe',
      hostname: 'h.example',
      service: 'ops',
      timeout_ms: 600,
      latency_target_ms: 121,
      priority: 2,
      attempts: 2,
    },
  ],
  services: [{ name: 'ops' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
};

const folder = url.fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, 115_000, async ({ record, temporary, stops }) => {
  const store = new Store();
  await store.open();
  stops.push(() => store.close());
  store.put('keyed.op', 'config', configuration);
  const replicas = new Set();
  const addReplica = async (id) => {
    const replica = new PlainReplica(id, 'ops', { workMs: 10 });
    await replica.open();
    stops.push(() => replica.close());
    replicas.add(replica);
    store.put('keyed.servers', id, replica.entry());
    return replica;
  };
  await addReplica('i-0');
  await addReplica('i-1');
  await addReplica('i-2');
  let leaving = await addReplica('i-3');
  const beat = setInterval(() => {
    for (const replica of replicas) {
      store.put('keyed.servers', replica.id, replica.entry());
    }
  }, beatMs);
  stops.push(() => clearInterval(beat));

  const machines = [];
  const proxies = [];
  for (let index = 1; index <= machineCount; index += 1) {
    const proxy = new Proxy();
    await proxy.open(store.address);
    stops.push(() => proxy.close());
    proxies.push(proxy);
    machines.push(await Machine.create(index, store, temporary, { storeAddress: proxy.address }));
  }
  const seeds = machines.map(({ host, ports }) => `${host}:${ports.peers}`);
  for (const machine of machines) {
    machine.onEnd = (code, signal) => record.add(`${machine.name} ended by itself: code ${code}, signal ${signal}`);
    machine.start(seeds, true);
    stops.push(() => machine.stop());
  }
  await Promise.all(machines.map((machine) => machine.waitUntilReady()));

  const sent = new Map();
  let isDone = false;
  const requests = (async () => {
    for (let index = 0; !isDone; index += 1) {
      const machine = machines[index % machines.length];
      const attemptId = `a${index}`;
      sent.set(attemptId, { machine: machine.name, sentMs: Date.now() });
      void callGateway({ machine, path: `/list/l${index}`, attemptId, headers: { 'Deadline-Ms': '600' } });
      await timers.setTimeout(requestIntervalMs);
    }
  })();

  const breaches = [];
  for (let round = 1; round <= rounds; round += 1) {
    await timers.setTimeout(calmMs);
    const silentMs = Date.now();
    if (hasTrouble) {
      const counts = proxies.map((proxy) => proxy.silence());
      record.add(`round ${round}: open connections to the store go silent: ${counts.join(', ')}`);
    }
    await timers.setTimeout(removalDelayMs);
    const removedMs = Date.now();
    replicas.delete(leaving);
    store.put('keyed.servers', leaving.id, undefined);
    record.add(`round ${round}: the entry of ${leaving.id} is removed; it goes on serving`);
    await timers.setTimeout(observedMs);
    const fromMs = removedMs + drainMs + toleranceMs;
    const late = leaving.runs.filter(({ attemptId, startMs }) => {
      const isInTouch = !hasTrouble || sent.get(attemptId).sentMs > silentMs + contactMs + toleranceMs;
      return isInTouch && startMs > fromMs && sent.get(attemptId).sentMs > fromMs - toleranceMs;
    });
    const last = leaving.runs.at(-1);
    record.add(
      `round ${round}: last request at ${leaving.id} ${last.startMs - removedMs} ms after the removal, ` +
        `${last.startMs - silentMs} ms after the connections went silent`,
    );
    for (const { attemptId, startMs } of late) {
      const { machine, sentMs } = sent.get(attemptId);
      const times = `sent ${sentMs - silentMs} ms after the silence, arrived ${startMs - removedMs} ms after the removal`;
      record.add(`late: ${attemptId} of ${machine} at ${leaving.id}, ${times}`);
    }
    if (late.length > 0) {
      breaches.push(`DRAIN: ${late.length} requests reached ${leaving.id} later than drain_ms after its removal`);
    }
    leaving = await addReplica(`i-${round + 3}`);
  }
  isDone = true;
  await requests;
  record.add(`${sent.size} requests in all`);
  return breaches;
});
