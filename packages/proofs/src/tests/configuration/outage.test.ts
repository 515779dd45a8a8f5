import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import {
  agreedConfiguration,
  configurationAt,
  configurationInLog,
  inForceLimitMs,
  lagAt,
  type Lag,
} from './support.js';

const queueLimit = 'solano/defaults/queueLimit';
const requestsPerReplica = 'solano/defaults/requestsPerReplica';
const settings = { platform: { log_timeout_ms: 2000 } };

/** Time within which a daemon detects a fault and reports it in its status, milliseconds. */
const detectionLimitMs = 5000;

async function waitForLag(
  cluster: harness.Cluster,
  index: number,
  description: string,
  predicate: (lag: Lag) => boolean,
): Promise<void> {
  await harness.waitUntil(description, detectionLimitMs, async () => predicate(await lagAt(cluster, index)));
}

vitest.describe('configuration while the log is unreachable', () => {
  vitest.test(
    'a daemon that starts during a log outage fetches the state from peers (guards against a start without configuration)',
    async () => {
      const cluster = await harness.Cluster.start({ daemons: 3, settings });
      try {
        await cluster.operator('solano', 0).set(queueLimit, 41);
        const before = await agreedConfiguration(cluster);
        await cluster.log.control({ outage: true });
        await cluster.daemon(2).kill();
        cluster.daemon(2).start();
        await harness.waitUntil('the started daemon shows the configuration', 10_000, async () => {
          return (await configurationAt(cluster, 2).catch(() => [])).length === before.length;
        });
        vitest.expect(await configurationAt(cluster, 2), cluster.errorOutput()).toEqual(before);
        const refused = await cluster.operator('solano', 2).edit(queueLimit, 42, before[0]?.version ?? null);
        vitest.expect(refused).toMatchObject({ status: 503, body: { error: { executed: 'no' } } });
        await cluster.log.control({ outage: false });
        await cluster.daemon(2).waitUntilReady();
        await cluster.operator('solano', 0).set(queueLimit, 43);
        await cluster.timesUntilInForce('solano', queueLimit, 43, inForceLimitMs);
        // The older state fetched from peers must not reappear once the daemon reads the log.
        for (let check = 0; check < 10; check += 1) {
          vitest.expect((await configurationAt(cluster, 2)).map(({ value }) => value)).toEqual([43]);
          await harness.delay(200);
        }
        vitest.expect(await agreedConfiguration(cluster)).toEqual(await configurationInLog(cluster));
      } finally {
        await cluster[Symbol.asyncDispose]();
      }
    },
  );

  vitest.test(
    'a daemon cut off from the log receives edits through peers (guards P9 against one broken connection)',
    async () => {
      const cluster = await harness.Cluster.start({ daemons: 4, settings, proxies: { log: true } });
      const cutOff = 3;
      try {
        const proxy = cluster.daemon(cutOff).proxies.log;
        await cluster.operator('solano', 0).set(queueLimit, 41);
        await proxy?.control({ cut: true });
        for (const value of [42, 43, 44]) {
          await cluster.operator('solano', 0).set(queueLimit, value);
          const times = await cluster.timesUntilInForce('solano', queueLimit, value, inForceLimitMs);
          vitest.expect(Math.max(...times)).toBeLessThan(inForceLimitMs);
        }
        await waitForLag(cluster, cutOff, 'the daemon reports that it reads from peers', (lag) => {
          return lag.source === 'peers' && !lag.logAvailable;
        });
        const refused = await cluster.operator('solano', cutOff).edit(queueLimit, 45, null);
        vitest.expect(refused.status).toBe(503);
        await proxy?.control({ cut: false, closeConnections: true });
        await waitForLag(
          cluster,
          cutOff,
          'the daemon reads the log again',
          (lag) => lag.source === 'log' && lag.logAvailable,
        );
        await cluster.operator('solano', cutOff).set(queueLimit, 46);
        vitest.expect(await agreedConfiguration(cluster)).toEqual(await configurationInLog(cluster));
      } finally {
        await cluster[Symbol.asyncDispose]();
      }
    },
  );

  vitest.test(
    'a daemon cut off from the log and peers reports its lag and reverts nothing (guards against a stale daemon)',
    async () => {
      const cluster = await harness.Cluster.start({ daemons: 4, settings, proxies: { log: true, peers: true } });
      const cutOff = 3;
      try {
        const daemon = cluster.daemon(cutOff);
        await cluster.operator('solano', 0).set(queueLimit, 41);
        const old = (await agreedConfiguration(cluster))[0];
        await daemon.proxies.log?.control({ cut: true });
        await cluster.isolateDaemon(daemon, true);
        await cluster.operator('solano', 0).set(queueLimit, 42);
        await waitForLag(cluster, cutOff, 'the daemon reports that it lags', (lag) => lag.lagging && !lag.logAvailable);
        // The daemon keeps serving loaded models.
        vitest.expect(await daemon.isReady()).toBe(true);
        const refused = await cluster.operator('solano', cutOff).edit(queueLimit, 43, old?.version ?? null);
        vitest.expect(refused, 'an isolated daemon cannot confirm an edit').toMatchObject({ status: 503 });
        await cluster.isolateDaemon(daemon, false);
        await daemon.proxies.log?.control({ cut: false, closeConnections: true });
        await cluster.timesUntilInForce('solano', queueLimit, 42, inForceLimitMs);
        await waitForLag(cluster, cutOff, 'the daemon no longer lags', (lag) => !lag.lagging && lag.logAvailable);
        vitest.expect(await agreedConfiguration(cluster)).toEqual(await configurationInLog(cluster));
      } finally {
        await cluster[Symbol.asyncDispose]();
      }
    },
  );

  vitest.test(
    'configuration and claims are restored from the log alone (guards against state that only daemons hold)',
    async () => {
      const cluster = await harness.Cluster.start({ daemons: 3, settings, services: [{ name: 'booking' }] });
      const call = { partner: 'solano', service: 'booking', key: 'payment-1', body: '{"amount":1}' };
      try {
        await cluster.operator('solano', 0).setService('booking');
        await cluster.operator('solano', 1).set(requestsPerReplica, 3);
        await cluster.operator('cascade', 2).set('cascade/defaults/queueLimit', 9);
        const before = await agreedConfiguration(cluster);
        const first = await cluster.callers.callService(cluster.daemon(0).callersUrl, call);
        vitest.expect(first, cluster.errorOutput()).toMatchObject({ status: 200 });
        await Promise.all(cluster.daemons.map((daemon) => daemon.kill()));
        for (const daemon of cluster.daemons) {
          daemon.start();
        }
        await Promise.all(cluster.daemons.map((daemon) => daemon.waitUntilReady()));
        vitest.expect(await agreedConfiguration(cluster), cluster.errorOutput()).toEqual(before);
        for (const daemon of cluster.daemons) {
          const repeated = await cluster.callers.callService(daemon.callersUrl, call);
          vitest.expect(repeated, cluster.errorOutput()).toMatchObject({ status: 200, body: first.body });
        }
        await cluster.observer.copyRecords();
        vitest.expect(cluster.observer.serviceCalls('booking').filter(({ key }) => key !== null)).toHaveLength(1);
      } finally {
        await cluster[Symbol.asyncDispose]();
      }
    },
  );
});
