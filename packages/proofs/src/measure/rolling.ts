/** Counts requests that a rolling replacement of all daemons interrupts. Usage: `node dist/measure/rolling.js`. */
import { replaceAllDaemons, startRollingCluster } from '../tests/requests/rolling.js';
import { spreadOf, writeReport } from './report.js';

const runCount = 5;

const runs = [];
for (let run = 1; run <= runCount; run += 1) {
  await using cluster = await startRollingCluster();
  const { cut, exitCodes, requests, serviceCalls, stopMs, streams, violations } = await replaceAllDaemons(cluster);
  const figures = { requests, streams, serviceCalls, cut: cut.length, violations, exitCodes, stopMs };
  runs.push(figures);
  process.stdout.write(`${JSON.stringify(figures)}\n`);
}
await writeReport('rolling', {
  what: 'requests without a whole answer while three daemons are replaced one after the other under steady load',
  target: 0,
  cut: spreadOf(runs.map((run) => run.cut)),
  requests: spreadOf(runs.map((run) => run.requests)),
  stopMs: spreadOf(runs.flatMap((run) => run.stopMs)),
  runs,
});
