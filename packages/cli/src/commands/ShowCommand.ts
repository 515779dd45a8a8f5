import * as oclif from '@oclif/core';
import type * as z from 'zod';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { CommandError } from '../CommandError.js';
import { formatPairs, formatTable } from '../output/table.js';
import { formatTime, formatValue } from '../output/values.js';
import * as responses from '../responses.js';

type Configuration = z.output<typeof responses.configuration>;

/** `jayhaven show [KEY]`. */
export class ShowCommand extends BaseCommand {
  public static override summary = 'Show the configuration and what each daemon applied.';
  public static override description =
    'Without KEY, lists all keys. A KEY that ends in "/" lists the keys beneath it. Any other KEY is shown in full.';
  public static override examples = [
    '<%= config.bin %> show',
    '<%= config.bin %> show solano/exceptions/',
    '<%= config.bin %> show solano/defaults/queueLimit',
  ];
  public static override args = {
    key: oclif.Args.string({ description: 'Configuration key or prefix', ignoreStdin: true }),
  };
  public static override flags = { ...connectionFlags };

  public async run(): Promise<unknown> {
    const { args, flags } = await this.parse(ShowCommand);
    const client = await this.connect(flags);
    const prefix = args.key?.endsWith('/') ? args.key : undefined;
    const key = prefix === undefined ? args.key : undefined;
    const response = this.unwrap(await client.get('/v1/configuration', { key }, responses.configuration));
    const matches = ({ key: name }: { readonly key: string }): boolean =>
      prefix === undefined || name.startsWith(prefix);
    const shown = { ...response, keys: response.keys.filter(matches), pending: response.pending.filter(matches) };
    if (key === undefined) {
      this._list(shown);
    } else {
      this._showKey(key, shown);
    }
    return shown;
  }

  private _list({ keys, pending, daemons }: Configuration): void {
    const rows = keys.map((entry) => [
      entry.key,
      formatValue(entry.value),
      String(entry.version),
      entry.operator,
      formatTime(entry.when),
      entry.reason,
    ]);
    this.log(formatTable(['KEY', 'VALUE', 'VERSION', 'BY', 'WHEN (UTC)', 'REASON'], rows, 'No key is set.'));
    this._listPending(pending);
    const behind = daemons.filter((daemon) => !daemon.answered || daemon.lagging);
    this.log(`\n${daemons.length - behind.length} of ${daemons.length} daemons are up to date`);
    for (const { daemon, answered, appliedOffset, reason } of behind) {
      this.log(`  ${daemon}: ${answered ? `lags at offset ${appliedOffset ?? '?'}` : `no answer (${reason ?? ''})`}`);
    }
  }

  private _listPending(pending: Configuration['pending']): void {
    if (pending.length > 0) {
      const rows = pending.map((edit) => [
        String(edit.version),
        edit.key,
        formatValue(edit.value),
        edit.operator,
        edit.missing.join(', '),
        edit.reason,
      ]);
      this.log(`\n${formatTable(['PENDING', 'KEY', 'VALUE', 'BY', 'WAITS FOR', 'REASON'], rows, '')}`);
    }
  }

  private _showKey(key: string, { keys, pending, daemons }: Configuration): void {
    const [entry] = keys;
    if (!entry && pending.length === 0) {
      throw new CommandError('error', `"${key}" is not set`);
    }
    if (entry) {
      this.log(
        formatPairs([
          ['Key', entry.key],
          ['Value', formatValue(entry.value)],
          ['Version', String(entry.version)],
          ['Set by', `${entry.operator} (${entry.partner})`],
          ['When', `${formatTime(entry.when)} UTC`],
          ['Reason', entry.reason === '' ? '-' : entry.reason],
        ]),
      );
    }
    this._listPending(pending);
    const rows = daemons.map((daemon) => [
      daemon.daemon,
      daemon.answered ? String(daemon.appliedOffset) : '-',
      daemon.since === undefined ? '-' : formatTime(daemon.since),
      daemon.answered ? (daemon.lagging ? 'lags' : 'up to date') : `no answer (${daemon.reason ?? ''})`,
      daemon.inForceSince === undefined ? '-' : formatTime(daemon.inForceSince),
    ]);
    this.log(`\n${formatTable(['DAEMON', 'APPLIED', 'SINCE (UTC)', 'STATE', 'IN FORCE SINCE (UTC)'], rows, '')}`);
  }
}
