import * as oclif from '@oclif/core';
import { BaseCommand, connectionFlags } from '../BaseCommand.js';
import { editFlags, reportEdit } from '../edits/reportEdit.js';
import { submitEdit } from '../edits/submitEdit.js';

/** `jayhaven unset KEY`. */
export class UnsetCommand extends BaseCommand {
  public static override summary = 'Remove a key, so that the default beneath it applies again.';
  public static override examples = [
    '<%= config.bin %> unset solano/exceptions/walkthrough/minimumReplicas --reason "opening week is over"',
  ];
  public static override args = {
    key: oclif.Args.string({ description: 'Configuration key', required: true, ignoreStdin: true }),
  };
  public static override flags = { ...editFlags, ...connectionFlags };

  public async run(): Promise<unknown> {
    const { args, flags } = await this.parse(UnsetCommand);
    const client = await this.connect(flags);
    const basedOn = flags['based-on'] === undefined ? {} : { basedOn: flags['based-on'] };
    const result = this.unwrap(
      await submitEdit(client, { key: args.key, value: null, reason: flags.reason, ...basedOn }),
    );
    return reportEdit(this, client, result, flags.wait);
  }
}
