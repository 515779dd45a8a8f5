import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { parseValue } from '../edits/readEditFile.js';
import { submitEdit } from '../edits/submitEdit.js';
import { editFlags, reportEdit } from '../edits/reportEdit.js';

/** `jayhaven edit KEY VALUE`. */
export class EditCommand extends BaseCommand {
  public static override summary = 'Set one configuration key.';
  public static override description = `Keys are defaults, exceptions, models, adapters and services of a partner, and shares of accelerator memory. Submits one edit and reports it as accepted only after it has been read back from the log. The edit is based on the version in force; if another edit wins the race, the command names it and changes nothing.

VALUE is JSON; text that is not JSON is taken as a string.`;
  public static override examples = [
    {
      description: 'Default for all models of solano',
      command: '<%= config.bin %> edit solano/defaults/keepAliveSeconds 600 --reason "longer afternoons"',
    },
    {
      description: 'Exception for one model',
      command: '<%= config.bin %> edit solano/exceptions/walkthrough/minimumReplicas 1 --reason "opening week"',
    },
    {
      description: 'Share of accelerator memory; the other partners must approve it',
      command: '<%= config.bin %> edit shared/share/solano 0.6 --reason "summer season"',
    },
  ];
  public static override args = {
    key: oclif.Args.string({ description: 'Configuration key', required: true, ignoreStdin: true }),
    value: oclif.Args.string({ description: 'New value', required: true, ignoreStdin: true }),
  };
  public static override flags = {
    ...editFlags,
    string: oclif.Flags.boolean({ summary: 'Take VALUE as a string even if it is JSON.' }),
    ...connectionFlags,
  };

  public async run(): Promise<unknown> {
    const { args, flags } = await this.parse(EditCommand);
    const client = await this.connect(flags);
    const value = flags.string ? args.value : parseValue(args.value);
    const basedOn = flags['based-on'] === undefined ? {} : { basedOn: flags['based-on'] };
    const result = this.unwrap(await submitEdit(client, { key: args.key, value, reason: flags.reason, ...basedOn }));
    return reportEdit(this, client, result, flags.wait);
  }
}
