import * as path from 'node:path';
import * as url from 'node:url';
import { sendAttempt } from '../lib-2/Consumer.mjs';
import { sleep } from '../lib-2/Gateway.mjs';
import { Proxy } from '../lib-2/Proxy.mjs';
import { Replica } from '../lib-2/Replica.mjs';
import { CannotRun, isTrouble, modelsByName, runCase } from '../lib-2/Site.mjs';

const directory = path.dirname(url.fileURLToPath(import.meta.url));
/** One with new software comes to these: a share of 0.125, where the site's largest `release` has 0.13. */
const replicaCount = 8;
/** One of them loses power: a share of 0.143, where the largest in the site file is 0.16. */
const gatewayCount = 7;
const streamCount = 16;
/** Streams from which on the rule counts. */
const leastTakenUp = 12;
const deadlineMs = 20_000;
/** A consumer leaves a stream after this pause: four times the route's objective, milliseconds. */
const patienceMs = 8_000;
/** Time for which the machine has no power, milliseconds. */
const darkMs = 3_500;

await runCase(directory, async (site) => {
  const { recorder, store } = site;
  const open = async (id, version, held) => {
    const replica = new Replica(id, { service: 'llm', store, recorder, models: modelsByName, version });
    replica.eventGapMs = 90;
    await site.openReplica(replica, held);
    return replica;
  };
  await open('i-1', '1', ['m0']);
  await open('i-2', '1', ['m0']);
  for (let index = 3; index <= replicaCount; index += 1) {
    await open(`i-${index}`, '1', ['m1']);
  }
  await site.startGateways(gatewayCount);
  const leader = await site.awaitLeader();
  await sleep(4_000);
  if (site.leader() !== leader) {
    throw new CannotRun('the leader has changed');
  }
  const [lost, other] = site.gateways.filter((gateway) => gateway !== leader);
  // Consumers reach the machine that loses power over a path that then is silent.
  const consumerPath = new Proxy(lost.ports.front);
  await consumerPath.open();
  site.onClose(() => consumerPath.close());
  const door = { name: lost.name, ports: { front: consumerPath.port } };

  let count = 0;
  const send = (gateway, leftMs, more = {}) => {
    count += 1;
    const headers = {
      Model: 'm0',
      'Token-Counts': `500,${150 * 6}`,
      'Prompt-Prefix': `aa:100,b${count.toString(16)}:400`,
      'Deadline-Ms': String(leftMs),
      ...more,
    };
    return sendAttempt(gateway, { host: 'tents.example', path: `/brief/${count}`, headers }, recorder);
  };
  const startedMs = Date.now();
  const streams = Array.from({ length: streamCount }, () => send(door, deadlineMs));
  await sleep(2_000);
  if (streams.some(({ result }) => result.events.length === 0)) {
    throw new CannotRun('not all streams have begun');
  }
  if (isTrouble) {
    consumerPath.cut();
    lost.signal('SIGKILL');
    setTimeout(() => lost.start({ storePort: store.port, seeds: site.seeds, bootstrap: false }), darkMs);
  }

  // New software comes: a replica starts beside the others, which serve on.
  await sleep(2_000);
  await open('i-new', '2', []);

  // Consumers whose streams have paused for so long take them up at other machines. Without the disruption the streams have not
  // paused, and the consumers take them up all the same.
  await sleep(patienceMs - 2_000);
  const takenUp = streams
    .filter(({ result }) => !result.isEnded)
    .map(({ attemptId, result }) => {
      result.leave();
      const more = { 'Last-Event-Id': String(result.events.at(-1)), Resumes: attemptId };
      return send(count % 2 === 0 ? leader : other, deadlineMs - (Date.now() - startedMs), more);
    });
  const begun = Array.from({ length: streamCount }, () => send(count % 2 === 0 ? leader : other, deadlineMs));
  await Promise.all([...streams, ...takenUp, ...begun].map(({ outcome }) => outcome));

  const share = (attempts) => attempts.filter(({ result }) => result.events.length > 0).length / attempts.length;
  recorder.say(`taken up: ${takenUp.length}, of which go on: ${Math.round(share(takenUp) * 100)} %`);
  recorder.say(`new streams meanwhile: ${begun.length}, of which begin: ${Math.round(share(begun) * 100)} %`);
  recorder.say(`answers to those taken up: ${[...new Set(takenUp.map(({ result }) => result.status))].join(', ')}`);
  if (takenUp.length < leastTakenUp) {
    throw new CannotRun('too few streams are taken up');
  }
  return share(takenUp) >= share(begun) / 2;
});
