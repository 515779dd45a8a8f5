#!/usr/bin/env node
import { startFromArguments, type StartedStandIn } from './commandLine.js';

async function stop(started: StartedStandIn): Promise<void> {
  await started.standIn[Symbol.asyncDispose]();
  process.exit(0);
}

try {
  const started = await startFromArguments(process.argv.slice(2));
  process.once('SIGTERM', () => {
    void stop(started);
  });
  process.stdout.write(`${JSON.stringify(started.announcement)}\n`);
} catch (error) {
  process.stderr.write(`stand-in: ${String(error)}\n`);
  process.exitCode = 1;
}
