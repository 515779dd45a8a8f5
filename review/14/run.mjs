import { clearInterval, setInterval } from 'node:timers';
import { send } from '../lib-3/Consumer.mjs';
import { freePorts, Gateways } from '../lib-3/Gateways.mjs';
import { PlainReplica } from '../lib-3/PlainReplica.mjs';
import { runCase } from '../lib-3/Recorder.mjs';
import { Store } from '../lib-3/Store.mjs';

const service = 'dispatch-app';
const gatewayCount = 4;
const key = 'k-3f9a1c';
const tenant = { name: 't-1', api_keys: [key], unit: 'tokens', rate_per_s: 1_000, burst: 2_000, plain_tokens: 500 };
/** What the tenant usually sends: its rate. */
const usualPerSecond = 2;
/** For this time it sends so many times its usual; it begins a second before the disruption. */
const hot = { times: 6, forMs: 11_000, beforeMs: 1_000 };
/** Time for which the store turns the leader's machine away. */
const refusedMs = 9_000;
const restartMs = 300;
/** The rule: (rate x window + burst) x (1 + quota_over) + quota_slack tokens in any window. */
const windowMs = 8_000;
const allowed = ((tenant.rate_per_s * windowMs) / 1_000 + tenant.burst) * 1.1 + 7_400;
const pause = (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs));

/** Gateways whose settings name seeds that are gone, each with a port of its own at the store. */
class TestGateways extends Gateways {
  async choosePorts(store) {
    const ports = await freePorts(3);
    this.staleSeeds = ports.map((port, index) => `127.0.2.${index + 1}:${port}`);
    this.storePorts = [];
    for (let index = 0; index < this.count; index += 1) {
      this.storePorts.push(await store.openPort());
    }
  }

  seedsOf() {
    return this.staleSeeds;
  }

  storeOf({ index }) {
    return `127.0.0.1:${this.storePorts[index]}`;
  }
}

async function play(gateways, store, replicas, record, hasTrouble) {
  let isOver = false;
  let hotFromMs = Number.POSITIVE_INFINITY;
  const sentMs = new Map();
  const asked = [];
  const traffic = (async () => {
    for (let index = 0; !isOver; index += 1) {
      const running = gateways.list.filter((gateway) => !gateway.hasExited);
      asked.push(ask(running[index % running.length], index, sentMs, record));
      const isHot = Date.now() >= hotFromMs && Date.now() < hotFromMs + hot.forMs;
      await pause(1_000 / (usualPerSecond * (isHot ? hot.times : 1)));
    }
  })();
  await pause(9_000);
  hotFromMs = Date.now();
  await pause(hot.beforeMs);
  if (hasTrouble) {
    await killRefusedLeader(gateways, store, record);
  } else {
    await pause(refusedMs);
  }
  await pause(3_000);
  isOver = true;
  await traffic;
  await Promise.all(asked);
  return findViolation(replicas, sentMs, record);
}

async function killRefusedLeader(gateways, store, record) {
  const leader = gateways.leader(store);
  const port = gateways.storePorts[leader.index];
  record('the store turns away', { gateway: leader.name, forMs: refusedMs });
  store.refusedPorts.add(port);
  const startedMs = Date.now();
  record('kill', { gateway: leader.name });
  leader.child.kill('SIGKILL');
  await leader.exited;
  await pause(restartMs);
  gateways.launch(leader, false);
  record('started again', { gateway: leader.name });
  await pause(startedMs + refusedMs - Date.now());
  store.refusedPorts.delete(port);
  record('the store serves', { gateway: leader.name });
}

/** The window in which the most tokens were both sent and run. */
function findViolation(replicas, sentMs, record) {
  const runs = replicas.flatMap(({ arrivals }) => arrivals).sort((one, other) => one.atMs - other.atMs);
  const tokensIn = (endMs) => {
    const counted = runs.filter(({ id, atMs }) => sentMs.get(id) > endMs - windowMs && atMs <= endMs);
    return counted.length * tenant.plain_tokens;
  };
  const most = Math.max(0, ...runs.map(({ atMs }) => tokensIn(atMs)));
  record('window', { mostTokens: most, allowed });
  return most > allowed;
}

function ask(gateway, index, sentMs, record) {
  const id = `${String(index).padStart(8, '0')}${Math.random().toString(16).slice(2, 10)}`;
  sentMs.set(id, Date.now());
  const headers = { 'Attempt-Id': id, Credential: key };
  return send(gateway, { method: 'GET', path: '/lookup/x', headers, deadlineMs: 1_008 }, record);
}

function configuration() {
  const route = {
    name: 'lamp-lookup',
    hostname: 'review.example',
    path_prefix: '/lookup/',
    service,
    kind: 'safe',
    timeout_ms: 1_008,
    latency_target_ms: 194,
    attempts: 2,
    priority: 1,
  };
  return {
    version: 1,
    tenants: [tenant],
    routes: [route],
    services: [{ name: service, health_path: '/health', max_conns: 550 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  };
}

await runCase('record.txt', async (record, hasTrouble) => {
  const store = new Store();
  await store.open();
  const replicas = ['i-1', 'i-2', 'i-3'].map((id) => new PlainReplica(id, service, { workMs: 43 }, record));
  await Promise.all(replicas.map((replica) => replica.open()));
  store.put('keyed.op', 'config', configuration());
  const beat = () => replicas.forEach((replica) => store.put('keyed.servers', replica.id, replica.entry()));
  beat();
  const beats = setInterval(beat, 1_200);
  const gateways = new TestGateways(store.port, gatewayCount, 1_200, undefined, {
    strict_revoke: false,
    revoke_ms: 5_000,
  });
  try {
    await gateways.choosePorts(store);
    await gateways.start();
    await pause(6_000);
    return await play(gateways, store, replicas, record, hasTrouble);
  } finally {
    clearInterval(beats);
    await gateways.close();
    replicas.forEach((replica) => replica.close());
    store.close();
  }
});
