/** Measures how long targets on leaving VMs receive new work. Usage: `node dist/measure/leaving.js`. */
import {
  withdrawalLimitMs,
  leavingFaults,
  setVmsLeaving,
  startLeavingCluster,
  type LeavingFault,
} from '../tests/requests/leaving.js';
import { spreadOf, writeReport } from './report.js';

const runCount = 5;

async function measure(fault: LeavingFault): Promise<unknown> {
  const runs = [];
  for (let run = 1; run <= runCount; run += 1) {
    await using cluster = await startLeavingCluster();
    const { engineMs, engineMsByDaemon, failed, requests, serviceMs, violations } = await setVmsLeaving(cluster, fault);
    const figures = { engineMs, engineMsByDaemon, serviceMs, requests, failed: failed.length, violations };
    runs.push(figures);
    process.stdout.write(`${fault} ${JSON.stringify(figures)}\n`);
  }
  const spreads = { engineMs: runs.map((run) => run.engineMs), serviceMs: runs.map((run) => run.serviceMs) };
  return { engineMs: spreadOf(spreads.engineMs), serviceMs: spreadOf(spreads.serviceMs), runs };
}

const cases: Record<string, unknown> = {};
for (const fault of leavingFaults) {
  cases[fault] = await measure(fault);
}
await writeReport('leaving', {
  what: 'milliseconds from the time the VM list shows a VM as leaving until its targets get their last new work',
  bound: withdrawalLimitMs,
  cases,
});
