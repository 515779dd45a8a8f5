import { type BalanceSetting, BalanceSimulation, type ChoicePolicy } from './BalanceSimulation.js';
import { expectedSends, leastLoad, randomChoices, slotShares, subset } from './policies.js';

/**
 * Prints the table of docs/design/even-load.md. Arguments: daemons, replicas, slots, requests a second, utilisation,
 * seconds, report ages separated by commas, and optionally models and copies. The variable ONLY names a policy, and
 * SLOWNESS=none leaves out the fourth figure of the loads.
 */
const [daemons = 82, replicas = 46, slots = 24, requestsPerSecond = 1_000, utilisation = 0.75, seconds = 15] =
  process.argv.slice(2, 8).map(Number);
const ages = (process.argv[8] ?? '50,200,500,1000,2000').split(',').map(Number);
const [count, copies] = process.argv.slice(9, 11).map(Number);
const policies: Readonly<Record<string, ChoicePolicy>> = {
  'least load, random cost': leastLoad,
  'two random choices': randomChoices(2),
  'four random choices': randomChoices(4),
  'slot shares': slotShares,
  'subset of 12': subset(12),
  'expected sends': expectedSends,
};
const only = process.env.ONLY;

for (const reportAgeMs of ages) {
  for (const [name, policy] of Object.entries(policies)) {
    if (only !== undefined && !name.startsWith(only)) {
      continue;
    }
    const setting: BalanceSetting = {
      daemons,
      replicas,
      slots,
      requestsPerSecond,
      reportAgeMs,
      utilisation,
      seconds,
      statesSlowness: process.env.SLOWNESS !== 'none',
      seed: 1,
      ...(count !== undefined && copies !== undefined && { models: { count, copies } }),
    };
    const result = new BalanceSimulation(setting, policy).run();
    const cells = [
      String(reportAgeMs),
      name,
      result.busiestOverMean.toFixed(2),
      `${(result.idleWhileQueued * 100).toFixed(1)} %`,
      result.firstEventMs.mean.toFixed(0),
      result.firstEventMs.p95.toFixed(0),
      result.newConnectionsPerRequest.toFixed(2),
      `${(result.sameDomainShare * 100).toFixed(0)} %`,
    ];
    process.stdout.write(`| ${cells.join(' | ')} |\n`);
  }
}
