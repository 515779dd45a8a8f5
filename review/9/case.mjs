import { Buffer } from 'node:buffer';
import * as http from 'node:http';
import * as path from 'node:path';
import * as url from 'node:url';
import { newAttemptId, sendAttempt } from '../lib-2/Consumer.mjs';
import { sleep } from '../lib-2/Gateway.mjs';
import { Replica } from '../lib-2/Replica.mjs';
import { CannotRun, configuration, isTrouble, modelsByName, runCase } from '../lib-2/Site.mjs';

const directory = path.dirname(url.fileURLToPath(import.meta.url));
const host = 'tents.example';
/** Two of them are stopped in turn: a share of 0.4, where the site's largest with this gap is 0.45. */
const gatewayCount = 5;
const gapMs = 1_300;
/** Time until a process that has ended is started again, milliseconds. */
const restartMs = 1_000;
const lossSlackMs = 200;
const graceMs = 8_000;
/** Consumers with a connection that they keep open. Each sends one request before the stops and, some 10 s later, one during them. */
const consumerCount = 6;
/** Time from the second SIGTERM to these requests, and between two of them, milliseconds. */
const requestsAfterMs = 6_700;
const requestGapMs = 100;
/**
 * Streams that run when a gateway is stopped: events, 119 at most on this site, and the time between two, of 8 tokens at 6 ms, where
 * a step takes 5.23 ms and more.
 */
const stream = { events: 119, gapMs: 48 };
const tokensPerEvent = 8;
const streamsAfterMs = 1_500;
/** The smallest tenant of the site, and one of its large ones: tokens a second, and their burst. */
const tenants = [
  { name: 'small', api_keys: ['key-small'], rate_per_s: 1_900, burst: 1_900 },
  { name: 'large', api_keys: ['key-large'], rate_per_s: 118_000, burst: 118_000 },
].map((tenant) => ({ ...tenant, unit: 'tokens', plain_tokens: 200 }));

/** A consumer that keeps its connection open. `outcome` resolves to how the answer ended. */
class KeptConsumer {
  constructor(gateway, recorder) {
    this._gateway = gateway;
    this._recorder = recorder;
    this._agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  send(number) {
    const attemptId = newAttemptId();
    const body = 'prompt';
    const headers = {
      Host: host,
      'Attempt-Id': attemptId,
      Credential: 'key-small',
      Model: 'm0',
      'Token-Counts': '383,48',
      'Prompt-Prefix': `aa:92,c${number.toString(16)}:291`,
      'Deadline-Ms': '4000',
      'Content-Length': Buffer.byteLength(body),
    };
    const result = { attemptId, status: undefined, isComplete: false };
    return new Promise((resolve) => {
      const finish = (how) => {
        if (result.how === undefined) {
          Object.assign(result, { how, tookMs: Date.now() - result.sentAtMs });
          this._recorder.write('consumer', 'answer ends', { ...result });
          resolve(result);
        }
      };
      const options = { host: '127.0.0.1', port: this._gateway.ports.front, method: 'POST', path: `/count/${number}` };
      const request = http.request({ ...options, agent: this._agent, headers }, (response) => {
        result.status = response.statusCode;
        response.resume();
        response.on('end', () => {
          result.isComplete = response.complete;
          finish('end');
        });
        response.on('error', (error) => finish(error.message));
      });
      request.on('error', (error) => finish(error.message));
      request.on('socket', () => {
        result.isKept = request.reusedSocket;
      });
      request.on('finish', () => {
        result.sentAtMs = Date.now();
      });
      result.sentAtMs = Date.now();
      this._recorder.write('consumer', 'sends', { attemptId, to: this._gateway.name });
      request.end(body);
    });
  }

  close() {
    this._agent.destroy();
  }
}

await runCase(directory, async (site) => {
  const { recorder, store } = site;
  store.put('keyed.op', 'config', { ...configuration, version: 8, tenants });
  for (const id of ['i-1', 'i-2']) {
    const replica = new Replica(id, { service: 'llm', store, recorder, models: modelsByName });
    replica.eventGapMs = stream.gapMs;
    replica.tokensPerEvent = tokensPerEvent;
    await site.openReplica(replica, ['m0']);
  }
  await site.startGateways(gatewayCount);
  const leader = await site.awaitLeader();
  const other = site.gateways.find((gateway) => gateway !== leader);
  await sleep(6_000);

  const consumers = Array.from({ length: consumerCount }, () => new KeptConsumer(other, recorder));
  site.onClose(() => consumers.forEach((consumer) => consumer.close()));
  for (const [index, consumer] of consumers.entries()) {
    const first = consumer.send(index);
    await sleep(400);
    if ((await first).status !== 200) {
      throw new CannotRun('a request before the stop is not served');
    }
  }
  await sleep(500);

  /** Stops a gateway, and starts it again once it has ended. Streams come until the platform has noticed. */
  const stop = async (gateway) => {
    const { recorder: log } = site;
    if (isTrouble) {
      gateway.signal('SIGTERM');
    }
    const stoppedAtMs = Date.now();
    void (async () => {
      await sleep(streamsAfterMs);
      for (let index = 0; index < 2; index += 1) {
        const headers = {
          Credential: 'key-large',
          Model: 'm0',
          'Token-Counts': `500,${stream.events * tokensPerEvent}`,
          'Prompt-Prefix': `aa:100,d${index}:400`,
          'Deadline-Ms': '20000',
        };
        sendAttempt(gateway, { host, path: `/brief/${index}`, headers }, log);
      }
    })();
    void (async () => {
      while (isTrouble && Date.now() - stoppedAtMs < graceMs + 5_000) {
        if (gateway.hasExited) {
          await sleep(restartMs);
          gateway.start({ storePort: store.port, seeds: site.seeds, bootstrap: false });
          return;
        }
        await sleep(20);
      }
    })();
    return stoppedAtMs;
  };
  await stop(leader);
  await sleep(gapMs);
  const stoppedAtMs = await stop(other);
  await sleep(requestsAfterMs);
  const outcomes = [];
  for (const [index, consumer] of consumers.entries()) {
    outcomes.push(consumer.send(consumerCount + index));
    await sleep(requestGapMs);
  }
  const results = await Promise.all(outcomes);

  const kept = results.filter(({ isKept }) => isKept);
  const lost = kept.filter(
    ({ isComplete, tookMs, sentAtMs }) =>
      !isComplete && tookMs > lossSlackMs && sentAtMs + tookMs - stoppedAtMs < graceMs + 1_000,
  );
  const statuses = results.map(({ status, isComplete }) => (isComplete ? status : 'closed'));
  recorder.say(`answers on ${kept.length} kept connections: ${statuses.join(' ')}`);
  recorder.say(`closed without an answer more than ${lossSlackMs} ms after the request: ${lost.length}`);
  if (kept.length < consumerCount) {
    throw new CannotRun('not all connections were kept');
  }
  return lost.length === 0;
});
