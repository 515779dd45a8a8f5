/**
 * Measures how loaded models are served during a log outage, and writes `docs/measurements/outage.json`. The first
 * argument is the duration in minutes; the default is 10.
 */
import * as harness from '../harness/index.js';
import * as support from '../tests/loads/loadCluster.js';
import { writeReport } from './report.js';

const minuteMs = 60_000;
/** Pause between rounds of one request to each daemon, milliseconds. */
const roundPauseMs = 1_000;

const minutes = Number(process.argv[2] ?? 10);
const counts = { served: 0, notServed: 0, refusedAtOnce: 0, coldOtherwise: 0 };
let slowestRefusalMs = 0;

await using setup = await support.startLoadCluster(['loaded', 'cold']);
const { cluster, topic } = setup;
for (const daemon of cluster.daemons) {
  await support.request(cluster, daemon, 'loaded');
}
await cluster.log.control({ outage: true });
// The first request after the start of an outage may be the one that detects it.
await harness.delay(1_000);
const endMs = Date.now() + minutes * minuteMs;
while (Date.now() < endMs) {
  for (const daemon of cluster.daemons) {
    const [loaded, cold] = await Promise.all([
      support.request(cluster, daemon, 'loaded'),
      support.request(cluster, daemon, 'cold'),
    ]);
    counts[loaded.outcome === 'complete' ? 'served' : 'notServed'] += 1;
    const isRefused = cold.outcome === 'refused' && cold.error?.executed === 'no' && cold.error.retryAfterMs;
    counts[isRefused ? 'refusedAtOnce' : 'coldOtherwise'] += 1;
    slowestRefusalMs = Math.max(slowestRefusalMs, cold.totalMs);
  }
  await harness.delay(roundPauseMs);
}
await cluster.log.control({ outage: false });
const healedMs = Date.now();
const [daemon] = cluster.daemons;
await harness.waitUntil('the cold model is served after the outage', 30_000, async () => {
  return daemon !== undefined && (await support.request(cluster, daemon, 'cold')).outcome === 'complete';
});
await writeReport('outage', {
  measuredAt: new Date().toISOString(),
  minutes,
  daemons: cluster.daemons.length,
  ...counts,
  slowestRefusalMs: Math.round(slowestRefusalMs),
  coldServedAfterOutageMs: Date.now() - healedMs,
  loadsDecidedDuringOutage: (await topic.decidedLoads('solano/cold')).length - 1,
  violations: await cluster.observer.violations({ replicasPerModel: 1 }),
});
