import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatHistory } from '../output/history.js';
import { formatTable } from '../output/table.js';
import * as responses from '../responses.js';

/** `jayhaven refusals`. */
export class RefusalsCommand extends BaseCommand {
  public static override summary = 'Show rejected edits and records by rule.';
  public static override examples = ['<%= config.bin %> refusals', '<%= config.bin %> refusals --rule staleEdit'];
  public static override flags = {
    rule: oclif.Flags.string({ summary: 'Only edits that this rule rejected.', helpValue: 'RULE' }),
    limit: oclif.Flags.integer({ char: 'n', summary: 'Number of edits.', default: 50, min: 1 }),
    ...connectionFlags,
  };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(RefusalsCommand);
    const client = await this.connect(flags);
    const query = { rule: flags.rule, limit: flags.limit };
    const response = this.unwrap(await client.get('/v1/refusals', query, responses.refusals));
    this.log(formatHistory(response.refusals, 'No rejected edits.'));
    const rows = response.daemons.flatMap(({ daemon, refusedEdits, rejectedRecords }) => [
      ...Object.entries(refusedEdits).map(([rule, count]) => [daemon, 'edit refused at once', rule, String(count)]),
      ...Object.entries(rejectedRecords).map(([rule, count]) => [daemon, 'record rejected', rule, String(count)]),
    ]);
    const headers = ['DAEMON', 'WHAT', 'RULE', 'COUNT SINCE START'];
    this.log(`\n${formatTable(headers, rows, 'Nothing was refused since the daemons started.')}`);
    this.warnUnresponsive(response.silent);
    return response;
  }
}
