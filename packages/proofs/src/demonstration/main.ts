/**
 * Demonstration: three daemons in two failure domains serve two partners on stand-ins. The daemon that owns the cell is
 * killed while the model that it decided to load is still loading; the pending request is still answered.
 */
import * as childProcess from 'node:child_process';
import * as path from 'node:path';
import * as harness from '../harness/index.js';

const commandLine = path.resolve(import.meta.dirname, '..', '..', '..', 'cli', 'bin', 'jayhaven.js');

/** Time from the request to the kill of the owner, milliseconds; falls within the load. */
const killAfterMs = 700;
/** Duration of a load at the engines, milliseconds. */
const loadMs = 2_500;

function printStep(sentence: string): void {
  process.stdout.write(`\n==> ${sentence}\n`);
}

function runCommand(
  cluster: harness.Cluster,
  daemonIndex: number,
  ...commandArguments: readonly string[]
): Promise<void> {
  process.stdout.write(`$ jayhaven ${commandArguments.join(' ')}\n`);
  return new Promise((resolve) => {
    const child = childProcess.spawn(process.execPath, [commandLine, ...commandArguments], {
      stdio: ['ignore', 'inherit', 'inherit'],
      env: {
        ...process.env,
        JAYHAVEN_ADDRESS: cluster.daemon(daemonIndex).operatorsUrl.replace('http://', ''),
        JAYHAVEN_KEY: harness.bearerKey('operator', 'solano'),
      },
    });
    child.once('close', () => {
      resolve();
    });
  });
}

function describe(result: harness.CallResult): string {
  const { outcome, status, firstTokenMs, totalMs, error } = result;
  const reason = error === undefined ? '' : `, ${error.type}: ${error.message} (executed: ${error.executed})`;
  return `${outcome}, status ${status}, first token after ${Math.round(firstTokenMs)} ms, all after ${Math.round(totalMs)} ms${reason}`;
}

async function demonstrate(): Promise<boolean> {
  printStep('Starting the stand-ins (log, VM list, weight store, 2 engines, 1 service) and 3 daemons.');
  await using cluster = await harness.Cluster.start({
    daemons: [{ failureDomain: 'fd-a' }, { failureDomain: 'fd-a' }, { failureDomain: 'fd-b' }],
    engines: [{ failureDomain: 'fd-a' }, { failureDomain: 'fd-b', fencing: 'ignored' }],
    services: [{ name: 'booking' }],
    engine: { 'load-ms': loadMs, 'token-ms': 20 },
    weightStore: { 'bytes-per-second': 1e12 },
    settings: { daemon: { log_level: 'error' } },
  });
  await cluster.operator('solano').setModel('walkthrough', { weightBytes: [40e9], expectedLoadMilliseconds: loadMs });
  await cluster.operator('cascade').setModel('summary', { weightBytes: [30e9], expectedLoadMilliseconds: loadMs });
  await cluster.operator('solano').set('solano/services/booking', { idempotentRoutes: [], deadlineMilliseconds: 5000 });
  const owner = await harness.findOwner(cluster);
  const survivors = cluster.daemons.filter((daemon) => daemon !== owner);
  const [first, second] = survivors;
  if (first === undefined || second === undefined) {
    throw new Error('invariant broken: fewer than two daemons besides the owner');
  }
  printStep(`A rigger asks for the cold model solano/walkthrough at ${first.name}; the owner is ${owner.name}.`);
  const pendingResult = cluster.callers.complete(first.callersUrl, {
    partner: 'solano',
    model: 'walkthrough',
    stream: true,
  });
  await harness.delay(killAfterMs);
  printStep(`Killing ${owner.name} (SIGKILL) while the model loads.`);
  await owner.kill();
  const walkthrough = await pendingResult;
  printStep(`The rigger's request: ${describe(walkthrough)}`);

  printStep('The same payment arrives at two daemons.');
  const payment = { partner: 'solano', service: 'booking', path: '/pay', key: 'day-hand-17' };
  const paid = await cluster.callers.callService(first.callersUrl, payment);
  const repeated = await cluster.callers.callService(second.callersUrl, payment);
  await cluster.observer.copyRecords();
  const runs = cluster.observer.serviceCalls('booking').filter((call) => call.key === payment.key).length;
  printStep(`First answer: ${paid.status}; second answer: ${repeated.status}; the service ran it ${runs} time(s).`);

  const index = cluster.daemons.indexOf(first);
  await runCommand(cluster, index, 'replicas');
  await runCommand(cluster, index, 'timeline', '--model', 'solano/walkthrough');
  const violations = await cluster.observer.violations({ replicasPerModel: 1 });
  printStep(`Violations that the observer outside the daemons found: ${violations.length}`);
  violations.forEach((violation) => process.stdout.write(`${violation}\n`));
  return walkthrough.outcome === 'complete' && runs === 1 && violations.length === 0;
}

process.exitCode = (await demonstrate()) ? 0 : 1;
