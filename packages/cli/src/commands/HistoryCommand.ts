import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatHistory } from '../output/history.js';
import * as responses from '../responses.js';

/** `jayhaven history [KEY]`. */
export class HistoryCommand extends BaseCommand {
  public static override summary = 'Show edits, accepted and rejected, newest last.';
  public static override examples = [
    '<%= config.bin %> history',
    '<%= config.bin %> history solano/defaults/queueLimit --limit 5',
  ];
  public static override args = { key: oclif.Args.string({ description: 'Configuration key', ignoreStdin: true }) };
  public static override flags = {
    limit: oclif.Flags.integer({ char: 'n', summary: 'Number of edits.', default: 50, min: 1 }),
    ...connectionFlags,
  };

  public async run(): Promise<unknown> {
    const { args, flags } = await this.parse(HistoryCommand);
    const client = await this.connect(flags);
    const query = { key: args.key, limit: flags.limit };
    const response = this.unwrap(await client.get('/v1/history', query, responses.history));
    this.log(formatHistory(response.history, 'No edits.'));
    return response;
  }
}
