import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatTable } from '../output/table.js';
import { formatDuration } from '../output/values.js';
import * as responses from '../responses.js';

/** `jayhaven queues`. */
export class QueuesCommand extends BaseCommand {
  public static override summary = 'Show waiting requests and queued loads.';
  public static override examples = ['<%= config.bin %> queues'];
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(QueuesCommand);
    const client = await this.connect(flags);
    const response = this.unwrap(await client.get('/v1/queues', {}, responses.queues));
    const waiting = response.waiting.map((entry) => [
      entry.daemon,
      entry.model.includes('/') ? entry.model : `${entry.partner}/${entry.model}`,
      String(entry.count),
      formatDuration(entry.oldestMs),
    ]);
    this.log(formatTable(['DAEMON', 'MODEL', 'WAITING', 'OLDEST'], waiting, 'No waiting requests.'));
    const loads = response.loads.map((entry) => [
      entry.daemon,
      entry.model,
      entry.urgency,
      formatDuration(entry.waitedMs),
    ]);
    this.log(`\n${formatTable(['OWNER', 'QUEUED LOAD', 'URGENCY', 'WAITED'], loads, 'No queued loads.')}`);
    this.warnUnresponsive(response.silent);
    return response;
  }
}
