/**
 * The idle connections to the store go silent, without a reset, while new ones work. Some seconds later, when all machines
 * are in touch again, the process that leads is killed and the configuration moves a route to another service. The other
 * machines send requests on that route to the old service for longer than config_ms.
 */
import * as timers from 'node:timers/promises';
import * as url from 'node:url';
import { callGateway } from '../lib/consumers.mjs';
import { hasTrouble, runCase } from '../lib/cases.mjs';
import { Machine } from '../lib/gateways.mjs';
import { Proxy } from '../lib/proxy.mjs';
import { PlainReplica } from '../lib/replicas.mjs';
import { Store } from '../lib/store.mjs';

const machineCount = 4;
const rounds = 3;
/** Calm time before the connections go silent in each round, milliseconds. */
const calmMs = 14_000;
/** Connections that have carried nothing for this long go silent, milliseconds. */
const idleMs = 2_000;
/** Time from then until the kill, milliseconds: longer than contact_ms. */
const killDelayMs = 4_000;
/** Time for which the killed machine is down, milliseconds: the site's for_s of a node_kill. */
const downMs = 3_500;
/** Time from the kill until the change of the configuration, milliseconds. */
const changeDelayMs = 200;
const observedMs = 8_000;
const requestIntervalMs = 5;
/** Bound of the small sites, and tolerance for the clock of the script, milliseconds. */
const configMs = 2_000;
const toleranceMs = 20;

const configuration = (version) => ({
  version,
  routes: [
    {
      name: 'list',
      path_prefix: '/list/',
      kind: 'safe',
      hostname: 'h.example',
      service: serviceOf(version),
      timeout_ms: 600,
      latency_target_ms: 121,
      priority: 2,
      attempts: 2,
    },
  ],
  services: [{ name: 'ops-0' }, { name: 'ops-1' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
});

/** Service of the route in a version: the two take turns. */
function serviceOf(version) {
  return `ops-${version % 2}`;
}

const folder = url.fileURLToPath(new URL('.', import.meta.url));
await runCase(folder, 115_000, async ({ record, temporary, stops }) => {
  const store = new Store();
  await store.open();
  stops.push(() => store.close());
  let version = 2;
  store.put('keyed.op', 'config', configuration(version));
  const replicas = [0, 1, 0, 1].map(
    (service, index) => new PlainReplica(`i-${index}`, `ops-${service}`, { workMs: 10 }),
  );
  for (const replica of replicas) {
    await replica.open();
    stops.push(() => replica.close());
    store.put('keyed.servers', replica.id, replica.entry());
  }
  const machines = [];
  const proxies = [];
  for (let index = 1; index <= machineCount; index += 1) {
    const proxy = new Proxy();
    await proxy.open(store.address);
    stops.push(() => proxy.close());
    proxies.push(proxy);
    machines.push(await Machine.create(index, store, temporary, { storeAddress: proxy.address, restartMs: downMs }));
  }
  const seeds = machines.slice(0, 3).map(({ host, ports }) => `${host}:${ports.peers}`);
  for (const machine of machines) {
    machine.onEnd = (code, signal) => record.add(`${machine.name} ended: code ${code}, signal ${signal}`);
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
      sent.set(attemptId, { machine, sentMs: Date.now() });
      void callGateway({ machine, path: `/list/l${index}`, attemptId, headers: { 'Deadline-Ms': '600' } });
      await timers.setTimeout(requestIntervalMs);
    }
  })();

  const breaches = [];
  for (let round = 1; round <= rounds; round += 1) {
    await timers.setTimeout(calmMs);
    if (hasTrouble) {
      const counts = proxies.map((proxy) => proxy.silence(idleMs));
      record.add(`round ${round}: idle connections to the store go silent: ${counts.join(', ')}`);
    }
    await timers.setTimeout(killDelayMs);
    const leader = machines.find((machine) => machine.name === store.newest('keyed.jayhaven', 'lease')?.holder);
    record.add(`round ${round}: ${leader.name} leads`);
    if (hasTrouble) {
      leader.signal('SIGKILL');
    }
    await timers.setTimeout(changeDelayMs);
    const changedMs = Date.now();
    const oldService = serviceOf(version);
    version += 1;
    store.put('keyed.op', 'config', configuration(version));
    record.add(`round ${round}: version ${version} moves the route from ${oldService} to ${serviceOf(version)}`);
    await timers.setTimeout(observedMs);
    const old = replicas
      .filter(({ service }) => service === oldService)
      .flatMap(({ id, runs }) => runs.map((run) => ({ ...run, id })))
      .filter(({ attemptId }) => sent.get(attemptId).machine !== leader);
    const late = old.filter(({ attemptId }) => sent.get(attemptId).sentMs > changedMs + configMs + toleranceMs);
    for (const { attemptId, id } of late) {
      const { machine, sentMs } = sent.get(attemptId);
      record.add(`late: ${attemptId} of ${machine.name} runs at ${id}, sent ${sentMs - changedMs} ms after the change`);
    }
    const lastMs = Math.max(...old.map(({ attemptId }) => sent.get(attemptId).sentMs)) - changedMs;
    record.add(`round ${round}: last request run by the old service sent ${lastMs} ms after the change`);
    if (late.length > 0) {
      breaches.push(
        `CONFIG: ${late.length} requests sent more than config_ms after version ${version} ran at ${oldService}`,
      );
    }
    for (const replica of replicas) {
      replica.runs.length = 0;
    }
  }
  isDone = true;
  await requests;
  record.add(`${sent.size} requests in all`);
  return breaches;
});
