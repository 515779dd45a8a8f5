import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatTable } from '../output/table.js';
import * as responses from '../responses.js';

/** `jayhaven owners`. */
export class OwnersCommand extends BaseCommand {
  public static override summary = 'Show the owner of each cell and its claim.';
  public static override examples = ['<%= config.bin %> owners'];
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(OwnersCommand);
    const client = await this.connect(flags);
    const response = this.unwrap(await client.get('/v1/owners', {}, responses.owners));
    const rows = response.cells.map(({ cell, owner, claim, renewedAt, believers }) => [
      cell,
      owner ?? '(none)',
      claim === null ? '-' : String(claim),
      String(renewedAt),
      believers.join(', '),
    ]);
    this.log(formatTable(['CELL', 'OWNER', 'CLAIM', 'RENEWED AT OFFSET', 'BELIEVES TO OWN IT'], rows, 'No cells.'));
    this.warnUnresponsive(response.silent);
    return response;
  }
}
