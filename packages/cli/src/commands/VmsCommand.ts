import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatTable } from '../output/table.js';
import * as responses from '../responses.js';

/** `jayhaven vms`. */
export class VmsCommand extends BaseCommand {
  public static override summary = 'Show VMs, their state and their targets.';
  public static override examples = ['<%= config.bin %> vms'];
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(VmsCommand);
    const client = await this.connect(flags);
    const response = this.unwrap(await client.get('/v1/vms', {}, responses.vms));
    const rows = response.vms.map(({ vm, failureDomain, state, targets }) => [
      vm,
      failureDomain,
      state,
      targets.map(({ address, role, service }) => `${address} (${service ?? role})`).join(', '),
    ]);
    this.log(formatTable(['VM', 'FAILURE DOMAIN', 'STATE', 'TARGETS'], rows, 'No VMs.'));
    return response;
  }
}
