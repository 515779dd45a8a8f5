// Runs the test suite. Failures of the tests listed in KNOWN-RED.txt are printed but do not fail the run.
import { readFileSync } from 'node:fs';
import process from 'node:process';
import { startVitest } from 'vitest/node';

const knownFailures = readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8')
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim());

const vitest = await startVitest('test', process.argv.slice(2), { watch: false, run: true });
const counts = { passed: 0, failed: 0, skipped: 0 };
const unexpected = [];
const seenKnownFailures = [];

for (const module of vitest.state.getTestModules()) {
  for (const error of module.errors()) {
    counts.failed += 1;
    unexpected.push(`${module.moduleId}: ${error.message}`);
  }
  for (const test of module.children.allTests()) {
    const { state } = test.result();
    counts[state in counts ? state : 'skipped'] += 1;
    if (state !== 'failed') continue;
    if (knownFailures.includes(test.fullName)) seenKnownFailures.push(test.fullName);
    else unexpected.push(test.fullName);
  }
}
const unhandled = vitest.state.getUnhandledErrors();
for (const error of unhandled) unexpected.push(`unhandled error: ${String(error?.message ?? error)}`);
await vitest.close();

for (const name of seenKnownFailures) console.log(`known red: ${name}`);
for (const name of unexpected) console.log(`FAILED: ${name}`);
console.log(`${counts.passed} passed, ${counts.failed} failed, ${counts.skipped} skipped`);
process.exit(unexpected.length > 0 || counts.passed === 0 ? 1 : 0);
