import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import * as responses from '../responses.js';

/** `jayhaven approve VERSION`. */
export class ApproveCommand extends BaseCommand {
  public static override summary = 'Approve a pending edit of a shared key for your partner.';
  public static override description =
    'Edits of shared keys come into force when every other partner has approved them. "show" lists pending edits.';
  public static override examples = ['<%= config.bin %> approve 1742'];
  public static override args = {
    version: oclif.Args.integer({
      description: 'Version of the pending edit',
      required: true,
      min: 0,
      ignoreStdin: true,
    }),
  };
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ApproveCommand);
    const client = await this.connect(flags);
    const response = this.unwrap(
      await client.post('/v1/approvals', { edit: args.version }, responses.approvalResponse),
    );
    this.log(
      response.state === 'accepted'
        ? `Version ${args.version} is approved by all partners and in force`
        : `Version ${args.version} is approved; other partners are still to approve it`,
    );
    return response;
  }
}
