import * as fs from 'node:fs/promises';
import * as oclif from '@oclif/core';
import { BaseCommand } from '../BaseCommand.js';
import { CommandError } from '../CommandError.js';
import { explainRequest, type LogLine, parseLogLine } from '../explain/explainRequest.js';

/** `jayhaven explain ATTEMPT_ID FILE...`. */
export class ExplainCommand extends BaseCommand {
  public static override summary = 'Show from log files what decided the outcome of a request.';
  public static override description =
    'Prints the lines of the request, its model, its replicas, the lease and the store in one order. Needs no daemon.';
  public static override examples = ['<%= config.bin %> explain 1c124aba86ab066f front-*.log'];
  public static override strict = false;
  public static override args = {
    attempt: oclif.Args.string({ description: 'Identifier of the request', required: true, ignoreStdin: true }),
  };

  public async run(): Promise<unknown> {
    const { args, argv } = await this.parse(ExplainCommand);
    const files = argv.slice(1).map(String);
    if (files.length === 0) {
      throw new CommandError('usage', 'no log file is named');
    }
    const lines: LogLine[] = [];
    for (const file of files) {
      lines.push(...(await readLines(file)));
    }
    const found = explainRequest(lines, args.attempt);
    if (found.length === 0) {
      throw new CommandError('error', `no line of ${files.length} files names the request ${args.attempt}`);
    }
    for (const line of found) {
      this.log(line.text);
    }
    return found.map((line) => line.fields);
  }
}

async function readLines(file: string): Promise<readonly LogLine[]> {
  try {
    const text = await fs.readFile(file, 'utf8');
    return text.split('\n').flatMap((line) => parseLogLine(line) ?? []);
  } catch (error) {
    throw new CommandError('error', `${file} cannot be read: ${String(error)}`);
  }
}
