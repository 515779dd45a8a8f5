#!/usr/bin/env node
import * as common from '@jayhaven/common';
import * as util from 'node:util';
import { openDaemon } from './Daemon.js';
import { readSettings } from './settings/readSettings.js';

const usage = 'usage: jayhavend --settings FILE.ini [--check]\n';

/** Exit codes of jayhavend. */
const exitCodes = { ok: 0, failed: 1, usage: 2, unfinishedRequests: 3 } as const;

/** Reads the settings, runs the daemon until a stop is requested, and returns the exit code. */
async function main(): Promise<number> {
  const options = readOptions();
  if (options === undefined) {
    process.stderr.write(usage);
    return exitCodes.usage;
  }
  if (options.help) {
    process.stdout.write(
      `${usage}\nServes models and plain services on one entry VM.\n\n` +
        'options:\n  --settings FILE  settings in INI form; see examples/jayhavend.ini\n' +
        '  --check          check the settings and start nothing\n  --help           show this text\n\n' +
        'signals:\n  SIGTERM, SIGINT  graceful shutdown\n\n' +
        'exit codes:\n  0 stopped in order, 1 failed, 2 wrong usage or settings, 3 requests unfinished at the stop limit\n',
    );
    return exitCodes.ok;
  }
  const settings = await readSettings(options.settings);
  if (!settings.ok) {
    for (const problem of settings.failure) {
      process.stderr.write(`${common.settings.formatSettingsProblem(problem)}\n`);
    }
    return exitCodes.usage;
  }
  if (options.check) {
    process.stdout.write(`${options.settings}: settings are valid\n`);
    return exitCodes.ok;
  }
  const logger = common.createLogger(settings.value.daemon.name, settings.value.daemon.logLevel);
  const daemon = await openDaemon(settings.value, logger);
  const stopRequested = new Promise<void>((resolve) => {
    // Later signals have no effect: a graceful shutdown is in progress and must not abort requests.
    process.on('SIGTERM', resolve);
    process.on('SIGINT', resolve);
    daemon.onStopRequested(resolve);
  });
  logger.info('Started.', { incarnation: daemon.incarnation });
  await stopRequested;
  const { unfinished } = await daemon.stop();
  if (unfinished > 0) {
    logger.error('Stopped at the stop limit with unfinished requests.', { unfinished });
    return exitCodes.unfinishedRequests;
  }
  logger.info('Stopped.');
  return exitCodes.ok;
}

function readOptions(): { settings: string; check: boolean; help: boolean } | undefined {
  try {
    const { values } = util.parseArgs({
      options: {
        settings: { type: 'string' },
        check: { type: 'boolean', default: false },
        help: { type: 'boolean', short: 'h', default: false },
      },
    });
    if (values.settings === undefined && !values.help) {
      return undefined;
    }
    return { settings: values.settings ?? '', check: values.check, help: values.help };
  } catch {
    return undefined;
  }
}

main().then(
  (code) => {
    process.exit(code);
  },
  (error: unknown) => {
    process.stderr.write(`jayhavend: ${error instanceof Error ? (error.stack ?? error.message) : String(error)}\n`);
    process.exit(exitCodes.failed);
  },
);
