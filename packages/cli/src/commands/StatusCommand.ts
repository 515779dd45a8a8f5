import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { formatTable } from '../output/table.js';
import { formatTime } from '../output/values.js';
import * as responses from '../responses.js';

/** `jayhaven status`. */
export class StatusCommand extends BaseCommand {
  public static override summary = 'Show all daemons, their lag and their requests.';
  public static override examples = ['<%= config.bin %> status', '<%= config.bin %> status --json'];
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { flags } = await this.parse(StatusCommand);
    const client = await this.connect(flags);
    const response = this.unwrap(await client.get('/v1/status', {}, responses.status));
    const rows = response.daemons.map(({ daemon, vm, failureDomain, startedAtMs, lag, owner, front }) => [
      daemon,
      vm,
      failureDomain,
      formatTime(startedAtMs),
      `${lag.appliedOffset}${lag.lagging ? ` of ${lag.highestSeenOffset}` : ''}`,
      lag.lagging ? 'lags' : 'up to date',
      lag.logAvailable ? lag.source : `${lag.source} (log down)`,
      owner.isOwner ? 'yes' : '-',
      String(front.inFlight),
      String(front.waiting.reduce((sum, entry) => sum + entry.count, 0)),
      front.draining ? 'draining' : 'serving',
    ]);
    const headers = [
      'DAEMON',
      'VM',
      'FAILURE DOMAIN',
      'STARTED (UTC)',
      'APPLIED',
      'CONFIGURATION',
      'SOURCE',
      'OWNER',
      'IN FLIGHT',
      'WAITING',
      'STATE',
    ];
    this.log(formatTable(headers, rows, 'No daemon answered.'));
    this.warnUnresponsive(response.silent);
    return response;
  }
}
