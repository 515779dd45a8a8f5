import * as vitest from 'vitest';
import * as harness from '../../harness/index.js';
import { agreedConfiguration, configurationAt, inForceLimitMs, lagAt, logRange } from './support.js';

const daemonCount = 4;
/** Minimum that the settings accept; the log stand-in uses the same retention. */
const retentionMs = 10_000;
const keys = ['solano/defaults/queueLimit', 'solano/defaults/requestsPerReplica'] as const;

function startCluster(): Promise<harness.Cluster> {
  return harness.Cluster.start({
    ...{ daemons: daemonCount, log: { 'retention-ms': retentionMs } },
    settings: { platform: { log_retention_ms: retentionMs, log_timeout_ms: 2000 }, stop: { announce_ms: 50 } },
  });
}

/** Waits until the log has dropped all records up to an offset. */
async function waitUntilDropped(cluster: harness.Cluster, offset: number): Promise<void> {
  await harness.waitUntil(`the log has dropped offset ${offset}`, retentionMs + 5000, async () => {
    return (await logRange(cluster)).beginning > offset;
  });
}

vitest.describe('retention of the log', () => {
  vitest.test(
    'edits survive the expiry of their records, an outage and a restart of every daemon (guards against reverted edits)',
    async () => {
      const cluster = await startCluster();
      try {
        await cluster.operator('solano', 0).set(keys[0], 41);
        await cluster.operator('solano', 1).set(keys[1], 7);
        const before = await agreedConfiguration(cluster);
        const last = Math.max(...before.map(({ version }) => version));
        await cluster.log.control({ outage: true });
        await harness.delay(retentionMs / 3 + 700);
        await cluster.log.control({ outage: false });
        await waitUntilDropped(cluster, last);
        for (const [index, daemon] of cluster.daemons.entries()) {
          vitest.expect(await daemon.stop(), cluster.errorOutput()).toBe(0);
          daemon.start();
          await daemon.waitUntilReady();
          await harness.waitUntil(`${daemon.name} shows the configuration`, inForceLimitMs, async () => {
            return (await configurationAt(cluster, index)).length === before.length;
          });
          vitest.expect(await configurationAt(cluster, index), cluster.errorOutput()).toEqual(before);
        }
        vitest.expect(await agreedConfiguration(cluster)).toEqual(before);
        // No daemon holds the state any more, so only a snapshot can restore it.
        await Promise.all(cluster.daemons.map((daemon) => daemon.kill()));
        for (const daemon of cluster.daemons) {
          daemon.start();
        }
        await Promise.all(cluster.daemons.map((daemon) => daemon.waitUntilReady()));
        vitest.expect(await agreedConfiguration(cluster), cluster.errorOutput()).toEqual(before);
      } finally {
        await cluster[Symbol.asyncDispose]();
      }
    },
  );

  vitest.test(
    'a daemon paused for longer than the retention catches up (guards against a stale daemon that overrides newer values)',
    async () => {
      const cluster = await startCluster();
      const paused = 3;
      try {
        await cluster.operator('solano', 0).set(keys[0], 41);
        const old = (await agreedConfiguration(cluster)).find(({ key }) => key === keys[0]);
        cluster.daemon(paused).pause();
        await cluster.operator('solano', 0).set(keys[0], 42);
        await cluster.operator('solano', 1).set(keys[1], 7);
        const { end } = await logRange(cluster);
        const pausedMs = Date.now();
        await waitUntilDropped(cluster, end - 1);
        await harness.delay(Math.max(0, pausedMs + retentionMs + 500 - Date.now()));
        const expected = await configurationAt(cluster, 0);
        cluster.daemon(paused).resume();
        const operator = cluster.operator('solano', paused);
        const late = await operator.edit(keys[0], 43, old?.version ?? null);
        vitest.expect([409, 503], JSON.stringify(late)).toContain(late.status);
        const times = await cluster.timesUntilInForce('solano', keys[0], 42, inForceLimitMs);
        vitest.expect(Math.max(...times)).toBeLessThan(inForceLimitMs);
        vitest.expect(await agreedConfiguration(cluster), cluster.errorOutput()).toEqual(expected);
        await harness.waitUntil('the daemon reads the log again', 5000, async () => {
          const lag = await lagAt(cluster, paused);
          return lag.source === 'log' && !lag.lagging && lag.logAvailable;
        });
        await operator.set(keys[0], 44);
        await cluster.timesUntilInForce('solano', keys[0], 44, inForceLimitMs);
      } finally {
        cluster.daemon(paused).resume();
        await cluster[Symbol.asyncDispose]();
      }
    },
  );
});
